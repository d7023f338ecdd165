package io.shallotspur.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

import org.tinylog.Logger;
import reactor.core.publisher.Mono;

import io.shallotspur.gateway.GatewayTimer;
import io.shallotspur.gateway.RequestQuarantine;
import io.shallotspur.quarantine.Crash;
import io.shallotspur.quarantine.CrashState;
import io.shallotspur.quarantine.Suspect;
import io.shallotspur.quarantine.SuspectEntry;

/**
 * Makes the requests that crash workers known to all VMs: each VM publishes what it
 * observed in the store, and merges what the others published. While the store does not
 * accept it, VMs tell each other directly. Not thread-safe; confined to the gateway's
 * thread.
 * <p>
 * Invariants: what was observed is published until the store has accepted it, also after
 * the store was unavailable; a VM publishes only its own observations, so the number of
 * calls grows with the number of crashes, not with that of the VMs that hear of them; a
 * quarantine that any VM knows of stays in the store.
 */
public final class SharedQuarantine {

	// Changes that come together are published together, ms.
	private static final long GATHER_MS = 20;

	private static final long MIN_INTERVAL_MS = 200;

	private static final long RETRY_MS = 1_000;

	// The store accepts a publication within some ms; after this time other VMs are told
	// directly, ms.
	private static final long TELL_AFTER_MS = 300;

	private static final int MAX_BATCH = 256;

	private static final int MAX_PENDING = 4_096;

	// Publications outlive the VM that made them: VMs that start later read them. The
	// store removes them with their lease, in ms.
	private static final long LEASE_MS = 600_000;

	// A lease is used for further publications only while most of its time is left, ms.
	private static final long LEASE_REUSE_MS = 150_000;

	// A quarantine is published again after this time: with the interval of the reviews,
	// before the lease of its latest publication can have ended, ms.
	private static final long REPUBLISH_MS = 300_000;

	// How often it is checked whether a publication is about to be removed, ms.
	private static final long REVIEW_MS = 60_000;

	private final Registry registry;

	private final RequestQuarantine quarantine;

	private final GatewayTimer timer;

	private final LongSupplier clock;

	private final DoubleSupplier random;

	private final String publisher;

	private SuspectPeers peers = SuspectPeers.NONE;

	// What other VMs were told directly, by fingerprint, until the store has accepted it.
	private final Map<Long, Suspect> told = new HashMap<>();

	// Whether the store has not accepted the latest publication in time.
	private boolean storeAway;

	// Observations that the store has not accepted yet, by fingerprint.
	private final Map<Long, Suspect> pending = new LinkedHashMap<>();

	// When something about a quarantined request was last published by any VM.
	private final Map<Long, Long> lastPublishedAt = new HashMap<>();

	// Requests that this VM has published something about.
	private final Set<Long> published = new HashSet<>();

	private long publications;

	private long lease;

	private long leaseOpenedAt;

	private boolean scheduled;

	private boolean stopped;

	/**
	 * Creates an instance that publishes the changes of a quarantine.
	 * @param registry the registry
	 * @param quarantine the requests that crash workers
	 * @param timer the gateway's timer
	 * @param clock supplies the gateway's time in milliseconds
	 * @param random supplies random numbers from 0 to 1
	 * @param publisher a name that no other start of a VM has
	 */
	public SharedQuarantine(Registry registry, RequestQuarantine quarantine, GatewayTimer timer, LongSupplier clock,
			DoubleSupplier random, String publisher) {
		this.registry = registry;
		this.quarantine = quarantine;
		this.timer = timer;
		this.clock = clock;
		this.random = random;
		this.publisher = publisher;
		quarantine.setChangeListener(this::collect);
	}

	/**
	 * Sets the way to tell other VMs while the store does not accept publications.
	 * @param peers tells other VMs
	 */
	public void setPeers(SuspectPeers peers) {
		this.peers = peers;
	}

	/**
	 * Starts to publish again what the store would lose with its leases.
	 */
	public void start() {
		scheduleReview();
	}

	// The random part keeps VMs from publishing the same again at the same moment.
	private void scheduleReview() {
		this.timer.schedule((long) (REVIEW_MS * (0.5 + this.random.getAsDouble())), this::review);
	}

	private void review() {
		if (this.stopped) {
			return;
		}
		long now = this.clock.getAsLong();
		List<Suspect> quarantined = this.quarantine.suspects(now)
			.stream()
			.filter((s) -> s.entry().quarantined())
			.toList();
		this.lastPublishedAt.keySet().retainAll(quarantined.stream().map(Suspect::fingerprint).toList());
		quarantined.stream()
			.filter((e) -> now - this.lastPublishedAt.getOrDefault(e.fingerprint(), 0L) >= REPUBLISH_MS)
			.forEach(this::add);
		scheduleIfPending(GATHER_MS);
		scheduleReview();
	}

	/**
	 * Stops publishing.
	 */
	public void stop() {
		this.stopped = true;
	}

	void onPublished(List<SuspectReport> reports) {
		long now = this.clock.getAsLong();
		reports.forEach((r) -> this.lastPublishedAt.put(r.fingerprint(), now));
		onTold(reports);
	}

	/**
	 * Merges what another VM has observed.
	 * @param reports the suspects
	 */
	public void onTold(List<SuspectReport> reports) {
		collect();
		long now = this.clock.getAsLong();
		Set<Long> causes = this.quarantine.merge(reports.stream().map((r) -> suspect(r, now)).toList(), now);
		// All VMs come to the same conclusion about a request, and only those with a part
		// in it publish it. That a part of prompts was answered is published, too, if
		// another VM does not know it.
		this.quarantine.drainChanges(now)
			.stream()
			.filter((s) -> !causes.contains(s.fingerprint()) || this.published.contains(s.fingerprint()))
			.forEach(this::add);
		scheduleIfPending(GATHER_MS);
	}

	// A store that was restored from an older snapshot lacks the latest publications and
	// the lease.
	void onStoreRestored(long delayMs) {
		this.lease = 0;
		this.quarantine.suspects(this.clock.getAsLong())
			.stream()
			.filter((e) -> this.published.contains(e.fingerprint()))
			.forEach(this::add);
		scheduleIfPending(delayMs + GATHER_MS);
	}

	private void collect() {
		this.quarantine.drainChanges(this.clock.getAsLong()).forEach(this::add);
		if (this.storeAway) {
			tellPeers(this.pending.values());
		}
		scheduleIfPending(GATHER_MS);
	}

	private void tellPeers(Collection<Suspect> suspects) {
		long now = this.clock.getAsLong();
		List<Suspect> news = suspects.stream().filter((s) -> !s.equals(this.told.get(s.fingerprint()))).toList();
		if (!news.isEmpty()) {
			news.forEach((s) -> this.told.put(s.fingerprint(), s));
			this.peers.tell(news.stream().map((s) -> report(s, now)).toList());
		}
	}

	private void onStoreSlow(List<Suspect> batch) {
		this.storeAway = true;
		tellPeers(batch);
	}

	// The table of suspects is bounded, and so is what may be published again.
	private void add(Suspect e) {
		if (this.published.size() >= MAX_PENDING) {
			this.published.clear();
		}
		this.published.add(e.fingerprint());
		if (this.pending.size() < MAX_PENDING || this.pending.containsKey(e.fingerprint())) {
			this.pending.put(e.fingerprint(), e);
		}
	}

	private void scheduleIfPending(long delayMs) {
		if (!this.scheduled && !this.pending.isEmpty() && !this.stopped) {
			this.scheduled = true;
			this.timer.schedule(delayMs, this::publish);
		}
	}

	private void publish() {
		if (this.stopped) {
			return;
		}
		List<Suspect> batch = this.pending.values().stream().limit(MAX_BATCH).toList();
		batch.forEach((e) -> this.pending.remove(e.fingerprint()));
		Runnable cancelTelling = this.timer.schedule(TELL_AFTER_MS, () -> onStoreSlow(batch));
		currentLease().flatMap((l) -> write(batch, l))
			.doFinally((x) -> cancelTelling.run())
			.subscribe((done) -> onResult(batch, done), (ex) -> onFailure(batch, ex.toString()));
	}

	private Mono<Long> currentLease() {
		long now = this.clock.getAsLong();
		if (this.lease != 0 && now - this.leaseOpenedAt < LEASE_REUSE_MS) {
			return Mono.just(this.lease);
		}
		return this.registry.openLease(LEASE_MS).doOnNext((l) -> {
			this.lease = l;
			this.leaseOpenedAt = now;
		});
	}

	private Mono<Boolean> write(List<Suspect> batch, long ofLease) {
		long now = this.clock.getAsLong();
		String name = this.publisher + "/" + this.publications++;
		return this.registry.publishSuspects(name, batch.stream().map((e) -> report(e, now)).toList(), ofLease);
	}

	private void onResult(List<Suspect> batch, boolean done) {
		if (!done) {
			this.lease = 0;
			onFailure(batch, "lease lost");
			return;
		}
		long now = this.clock.getAsLong();
		batch.forEach((e) -> this.lastPublishedAt.put(e.fingerprint(), now));
		this.storeAway = false;
		this.told.clear();
		Logger.info("[quarantine] published requests={}", batch.size());
		this.scheduled = false;
		scheduleIfPending(MIN_INTERVAL_MS);
	}

	private void onFailure(List<Suspect> batch, String cause) {
		Logger.info("[quarantine] not published requests={} seen=\"{}\"", batch.size(), cause);
		batch.forEach((e) -> this.pending.putIfAbsent(e.fingerprint(), e));
		onStoreSlow(batch);
		this.scheduled = false;
		scheduleIfPending((long) (RETRY_MS * (0.5 + this.random.getAsDouble())));
	}

	private static SuspectReport report(Suspect s, long now) {
		return new SuspectReport(s.fingerprint(),
				s.entry()
					.crashes()
					.stream()
					.map((c) -> new SuspectReport.CrashReport(c.worker(), Math.max(0, now - c.at()), c.state().name()))
					.toList(),
				s.parts(), List.copyOf(s.customers()));
	}

	private static Suspect suspect(SuspectReport r, long now) {
		List<Crash> crashes = new ArrayList<>();
		for (SuspectReport.CrashReport c : r.crashes()) {
			// A state that a later version has added says nothing to this one.
			Stream.of(CrashState.values())
				.filter((s) -> s.name().equals(c.state()))
				.forEach((s) -> crashes.add(new Crash(c.worker(), now - c.ageMs(), s)));
		}
		return new Suspect(new SuspectEntry(r.fingerprint(), crashes), r.parts(), Set.copyOf(r.customers()));
	}

}
