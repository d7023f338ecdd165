package io.shallotspur.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

import org.tinylog.Logger;

import io.shallotspur.gateway.AnnouncedVersions;
import io.shallotspur.gateway.Gateway;
import io.shallotspur.gateway.GatewayTimer;
import io.shallotspur.gateway.VersionSource;
import io.shallotspur.gateway.WorkerInfo;

/**
 * Announces the versions of the workers' software in the registry before streams begin at
 * them, and proves by it that an upstream has had one version only. Not thread-safe;
 * confined to the gateway's thread.
 * <p>
 * A stream that its caller resumes must go on at the version that began it. While an
 * upstream has one version, no VM has to remember or tell where each stream began, and
 * one read of the registry is enough after any number of VMs have ended.
 * <p>
 * Invariants: an announcement is changed by compare-and-set only; a version is removed
 * only after it has been marked for longer than any VM goes on without the registry, and
 * streams begin at a marked version only after its mark was removed; an answer that was
 * requested before the stream is resumed proves nothing, nor does a registry that may
 * have lost announcements.
 */
public final class SharedVersions implements VersionSource {

	// All VMs see a new version at about the same time. The first one in the order of the
	// VMs announces it; the next ones do so in turn if it has not, ms.
	private static final long TURN_MS = 100;

	private static final int MAX_TURNS = 20;

	private static final long RETRY_MS = 400;

	// After a failed read no other is made for this time, so that requests are not kept
	// waiting for a registry that is away, ms.
	private static final long READ_RETRY_MS = 300;

	// A VM that has lost the registry may go on with the workers that it knows. Regions
	// lose each other for up to an hour, ms.
	static final long RETENTION_MS = 7_200_000;

	// A version that no worker has had for this time is marked, ms.
	private static final long QUIET_MS = RETENTION_MS / 4;

	// A VM that does not know of the mark may still begin streams at the version. It is
	// removed only after all of them have been able to learn it, ms.
	private static final long RETIRING_MS = RETENTION_MS - QUIET_MS;

	private static final long REVIEW_MS = 60_000;

	private static final long MAX_REVIEW_GAP_MS = 3 * REVIEW_MS;

	static final int MAX_VERSIONS = 64;

	private final VersionRegistry registry;

	private final Gateway gateway;

	private final GatewayTimer timer;

	private final DoubleSupplier random;

	private final String ownKey;

	private final Map<String, Upstream> upstreams = new HashMap<>();

	// Until then the registry may lack announcements, as it was restored from an older
	// snapshot, in gateway.nowMs(): a time of day that is set must not end the period.
	private long staleUntil = Long.MIN_VALUE / 2;

	private BooleanSupplier registryUnavailable = () -> false;

	// In gateway.elapsedMs(), which includes suspensions.
	private long reviewedAt;

	private boolean stopped;

	/**
	 * Creates an instance.
	 * @param registry the registry
	 * @param gateway receives the announced versions
	 * @param timer the gateway's timer
	 * @param random supplies random numbers from 0 to 1
	 * @param ownKey the key of this VM's registration
	 */
	public SharedVersions(VersionRegistry registry, Gateway gateway, GatewayTimer timer, DoubleSupplier random,
			String ownKey) {
		this.registry = registry;
		this.gateway = gateway;
		this.timer = timer;
		this.random = random;
		this.ownKey = ownKey;
	}

	/**
	 * Starts to remove versions that are no longer used.
	 */
	public void start() {
		this.reviewedAt = this.gateway.elapsedMs();
		scheduleReview();
	}

	private void scheduleReview() {
		this.timer.schedule((long) (REVIEW_MS * (0.5 + this.random.getAsDouble())), this::review);
	}

	/**
	 * Stops to write.
	 */
	public void stop() {
		this.stopped = true;
	}

	/**
	 * Returns whether all known versions are announced.
	 * @return {@code false} if streams cannot begin at some workers yet
	 */
	public boolean isComplete() {
		return this.upstreams.values().stream().allMatch(Upstream::isStored);
	}

	private Set<String> announced(String upstream) {
		return this.gateway.origins().versions().of(upstream);
	}

	private Upstream upstream(String name) {
		return this.upstreams.computeIfAbsent(name, (n) -> new Upstream());
	}

	void setRegistryUnavailable(BooleanSupplier unavailable) {
		this.registryUnavailable = unavailable;
	}

	void onWorker(WorkerInfo w) {
		Upstream u = upstream(w.upstream());
		u.lastSeen.put(w.version(), this.gateway.nowMs());
		if (!u.isStored()) {
			scheduleAnnouncement(w.upstream());
		}
	}

	void onAnnounced(RegistryChange.VersionsAnnounced e) {
		Upstream u = upstream(e.upstream());
		if (e.position().compareTo(u.position) < 0) {
			return;
		}
		forgetRemoved(e, u);
		long now = this.gateway.nowMs();
		u.store(e, now);
		AnnouncedVersions.listed(e.versions()).forEach((v) -> u.lastSeen.putIfAbsent(v, now));
		// What a restore has lost was announced once, and is about to be again.
		Set<String> usable = new HashSet<>(announced(e.upstream()));
		usable.retainAll(u.wanted());
		usable.addAll(e.versions());
		this.gateway.origins().versions().update(e.upstream(), usable);
		Logger.info("[versions] announced upstream={} versions={} point={}", e.upstream(), e.versions(), e.position());
		if (!u.isStored()) {
			scheduleAnnouncement(e.upstream());
		}
	}

	// What another VM has removed or marked must not be announced again.
	private void forgetRemoved(RegistryChange.VersionsAnnounced e, Upstream u) {
		Set<String> removed = new HashSet<>(u.stored);
		removed.removeAll(e.versions());
		removed.addAll(AnnouncedVersions.retiring(e.versions()));
		removed.removeAll(this.gateway.roster().versions(e.upstream()));
		u.lastSeen.keySet().removeAll(removed);
	}

	// What was announced since the snapshot is lost.
	void onStoreRestored() {
		this.upstreams.forEach((name, u) -> {
			u.position = StorePosition.NONE;
			u.stored = Set.of();
			scheduleAnnouncement(name);
		});
	}

	/**
	 * Handles the beginning of a period in which the registry may lack what was written
	 * before.
	 * @param staleMs its length in milliseconds
	 */
	public void onStaleData(long staleMs) {
		this.staleUntil = this.gateway.nowMs() + staleMs;
	}

	private void scheduleAnnouncement(String name) {
		Upstream u = upstream(name);
		if (u.scheduled || this.stopped) {
			return;
		}
		u.scheduled = true;
		int rank = this.gateway.entryVms().rank(this.ownKey, this.gateway.nowMs());
		this.timer.schedule(TURN_MS * Math.min(MAX_TURNS, rank), () -> announce(name));
	}

	private void announce(String name) {
		Upstream u = upstream(name);
		if (this.stopped || u.isStored()) {
			u.scheduled = false;
			return;
		}
		write(name, announcement(name, u));
	}

	private Set<String> announcement(String name, Upstream u) {
		Set<String> versions = new HashSet<>(u.stored);
		versions.addAll(u.wanted());
		if (versions.size() > MAX_VERSIONS) {
			Logger.warn("[versions] too many versions upstream={} versions={}", name, versions.size());
			versions = new HashSet<>(u.stored);
			versions.add(AnnouncedVersions.ANY);
			AnnouncedVersions.unmark(versions, AnnouncedVersions.ANY);
		}
		for (String v : u.wanted()) {
			AnnouncedVersions.unmark(versions, v);
		}
		return versions;
	}

	private void write(String name, Set<String> versions) {
		this.registry.announceVersions(name, versions, upstream(name).position).subscribe((done) -> {
			Logger.info("[versions] announcement completed upstream={} versions={} done={}", name, versions, done);
			read(name);
		}, (ex) -> onWriteFailed(name, ex));
	}

	private void onWriteFailed(String name, Throwable ex) {
		Logger.info("[versions] not announced upstream={} seen=\"{}\"", name, ex.toString());
		retry(name);
	}

	private void retry(String name) {
		upstream(name).scheduled = false;
		this.timer.schedule((long) (RETRY_MS * (0.5 + this.random.getAsDouble())), () -> scheduleAnnouncement(name));
	}

	// The watch may deliver the own announcement, or the one that came before it, some
	// hundred milliseconds later.
	private void read(String name) {
		this.registry.readVersions(name).subscribe((e) -> {
			upstream(name).scheduled = false;
			onAnnounced(e);
		}, (ex) -> onWriteFailed(name, ex));
	}

	@Override
	public void findOnlyVersion(String name, Consumer<Optional<String>> callback) {
		Upstream u = upstream(name);
		if (!u.reading && this.gateway.nowMs() - u.readFailedAt < READ_RETRY_MS) {
			callback.accept(Optional.empty());
			return;
		}
		u.waiting.add(callback);
		if (!u.reading) {
			readFor(name);
		}
	}

	private void readFor(String name) {
		Upstream u = upstream(name);
		List<Consumer<Optional<String>>> callbacks = List.copyOf(u.waiting);
		u.waiting.clear();
		u.reading = true;
		long sentAt = this.gateway.nowMs();
		this.registry.readVersions(name).subscribe((e) -> {
			onAnnounced(e);
			boolean valid = sentAt >= this.staleUntil && u.isStored();
			onRead(name, callbacks, valid ? AnnouncedVersions.only(e.versions()) : Optional.empty());
		}, (ex) -> {
			Logger.info("[versions] not read upstream={} seen=\"{}\"", name, ex.toString());
			u.readFailedAt = this.gateway.nowMs();
			onRead(name, callbacks, Optional.empty());
		});
	}

	private void onRead(String name, List<Consumer<Optional<String>>> callbacks, Optional<String> version) {
		Upstream u = upstream(name);
		u.reading = false;
		callbacks.forEach((c) -> c.accept(version));
		if (!u.waiting.isEmpty() && !u.reading) {
			readFor(name);
		}
	}

	private void review() {
		if (this.stopped) {
			return;
		}
		long now = this.gateway.nowMs();
		long elapsed = this.gateway.elapsedMs();
		// Without the registry, or while suspended, this VM may have missed workers that
		// came and are used.
		boolean missedChanges = this.registryUnavailable.getAsBoolean()
				|| elapsed - this.reviewedAt > MAX_REVIEW_GAP_MS;
		boolean first = this.gateway.entryVms().rank(this.ownKey, this.gateway.nowMs()) == 0;
		this.upstreams.forEach((name, u) -> {
			Set<String> used = missedChanges ? u.wanted() : this.gateway.roster().versions(name);
			Set.copyOf(used).forEach((v) -> u.lastSeen.put(v, now));
			if (missedChanges) {
				u.retiringSince.replaceAll((v, since) -> now);
			}
			if (first) {
				retireUnused(name, u, now);
			}
		});
		this.reviewedAt = elapsed;
		scheduleReview();
	}

	private void retireUnused(String name, Upstream u, long now) {
		Set<String> next = new HashSet<>(u.stored);
		for (String v : AnnouncedVersions.listed(u.stored)) {
			if (now - u.lastSeen.getOrDefault(v, now) > QUIET_MS) {
				AnnouncedVersions.markRetiring(next, v);
			}
		}
		u.retiringSince.forEach((v, since) -> {
			if (now - since > RETIRING_MS) {
				AnnouncedVersions.remove(next, v);
			}
		});
		if (!AnnouncedVersions.listed(next).isEmpty() && !next.equals(u.stored)) {
			write(name, next);
		}
	}

	/**
	 * What is known of the versions of one upstream.
	 */
	private static final class Upstream {

		// Where the entry was last written, and its versions.
		private StorePosition position = StorePosition.NONE;

		private Set<String> stored = Set.of();

		// When a worker was last seen with each version, or its announcement first, in
		// gateway.nowMs().
		private final Map<String, Long> lastSeen = new HashMap<>();

		// Since when this VM knows that the versions are marked and that the entry
		// has not changed, in gateway.nowMs().
		private final Map<String, Long> retiringSince = new HashMap<>();

		private boolean scheduled;

		private boolean reading;

		private long readFailedAt = Long.MIN_VALUE / 2;

		private final List<Consumer<Optional<String>>> waiting = new ArrayList<>();

		Set<String> wanted() {
			return this.lastSeen.keySet();
		}

		boolean isStored() {
			return wanted().stream().allMatch((v) -> AnnouncedVersions.isUsable(this.stored, v));
		}

		void store(RegistryChange.VersionsAnnounced e, long now) {
			if (!e.position().equals(this.position)) {
				this.retiringSince.clear();
			}
			this.position = e.position();
			this.stored = e.versions();
			AnnouncedVersions.retiring(this.stored).forEach((v) -> this.retiringSince.putIfAbsent(v, now));
		}

	}

}
