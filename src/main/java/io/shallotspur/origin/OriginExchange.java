package io.shallotspur.origin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import org.tinylog.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import io.shallotspur.gateway.EntryVmDirectory;
import io.shallotspur.gateway.GatewayTimer;
import io.shallotspur.gateway.KnownOrigin;
import io.shallotspur.gateway.OriginPeers;
import io.shallotspur.gateway.StreamOrigin;
import io.shallotspur.gateway.StreamOrigins;
import io.shallotspur.port.PeerNetwork;

/**
 * Keeps copies of where streams began at other VMs, and asks these for the streams that a
 * caller resumes here. Not thread-safe; confined to the gateway's thread, on which the
 * network must call back.
 * <p>
 * Invariant: a stream is known only if a VM has said where it began; that a VM does not
 * know it, or does not respond, says nothing.
 */
public final class OriginExchange implements OriginPeers {

	// VMs that are told of a stream, chosen by its id. Of eight VMs of which three are
	// killed together, all three copies are lost once in 35 times.
	private static final int COPIES = 3;

	// VMs that are asked. More than are told, as the views of the VMs may differ after
	// others have started or ended.
	private static final int ASKED = 8;

	// Streams that begin within this time are told of together, ms.
	private static final long GATHER_MS = 5;

	private static final int MAX_ENTRIES = 512;

	// VMs respond within a few ms; one that takes many times longer is cut off or has
	// ended, ms.
	private static final long TIMEOUT_MS = 300;

	// A VM that has ended fails each message until its registration expires, ms.
	private static final long LOG_INTERVAL_MS = 1_000;

	private static final int MAX_LOGGED = 1_000;

	private final PeerNetwork peers;

	private final EntryVmDirectory vms;

	private final StreamOrigins origins;

	private final GatewayTimer timer;

	private final LongSupplier clock;

	private final MetricRegistry metrics;

	// What is still to be told, by the address of the VM.
	private final Map<String, List<OriginEntry>> pending = new LinkedHashMap<>();

	// When a failure was last logged, by the address of the VM.
	private final Map<String, Long> loggedAt = new HashMap<>();

	private boolean scheduled;

	/**
	 * Creates the exchange and sets its message handlers.
	 * @param peers the links, not started yet
	 * @param vms the entry VMs
	 * @param origins the streams that this VM knows of
	 * @param timer the gateway's timer
	 * @param clock supplies the gateway's time in milliseconds
	 * @param metrics counts messages
	 */
	public OriginExchange(PeerNetwork peers, EntryVmDirectory vms, StreamOrigins origins, GatewayTimer timer,
			LongSupplier clock, MetricRegistry metrics) {
		this.peers = peers;
		this.vms = vms;
		this.origins = origins;
		this.timer = timer;
		this.clock = clock;
		this.metrics = metrics;
		peers.onAsk(OriginUpdate.class, (m) -> Mono.fromSupplier(() -> onUpdate(m)));
		peers.onAsk(OriginQuery.class, (m) -> Mono.fromSupplier(() -> onQuery(m)));
	}

	private OriginReceipt onUpdate(OriginUpdate m) {
		long now = this.clock.getAsLong();
		m.entries().forEach((e) -> this.origins.add(e.known(), now));
		return new OriginReceipt(m.entries().size());
	}

	private OriginResult onQuery(OriginQuery m) {
		return new OriginResult(this.origins.find(m.request(), this.clock.getAsLong())
			.map((o) -> new OriginEntry(m.request(), o.upstream(), o.version(), 0))
			.stream()
			.toList());
	}

	@Override
	public void tell(List<KnownOrigin> streams) {
		List<String> addresses = this.vms.peerAddresses(this.clock.getAsLong());
		for (KnownOrigin k : streams) {
			OriginEntry e = OriginEntry.of(k);
			ReplicaSelector.select(k.request(), addresses, COPIES)
				.forEach((a) -> this.pending.computeIfAbsent(a, (x) -> new ArrayList<>()).add(e));
		}
		if (!this.scheduled) {
			this.scheduled = true;
			this.timer.schedule(GATHER_MS, this::sendPending);
		}
	}

	private void sendPending() {
		this.scheduled = false;
		this.pending.forEach(this::send);
		this.pending.clear();
	}

	private void send(String address, List<OriginEntry> entries) {
		for (int from = 0; from < entries.size(); from += MAX_ENTRIES) {
			List<OriginEntry> part = entries.subList(from, Math.min(entries.size(), from + MAX_ENTRIES));
			this.metrics.counter("origin.told").inc(part.size());
			this.peers.ask(address, new OriginUpdate(part), TIMEOUT_MS).subscribe((receipt) -> {
			}, (ex) -> onNotTold(address, part.size(), ex));
		}
	}

	private void onNotTold(String address, int count, Throwable ex) {
		this.metrics.counter("origin.not-told").inc(count);
		if (mayLog(address)) {
			Logger.info("[origin] VM not told vm={} streams={} seen=\"{}\"", address, count, ex.toString());
		}
	}

	private boolean mayLog(String address) {
		long now = this.clock.getAsLong();
		if (now - this.loggedAt.getOrDefault(address, Long.MIN_VALUE / 2) < LOG_INTERVAL_MS) {
			return false;
		}
		if (this.loggedAt.size() >= MAX_LOGGED) {
			this.loggedAt.clear();
		}
		this.loggedAt.put(address, now);
		return true;
	}

	@Override
	public void ask(String request, Consumer<Optional<StreamOrigin>> callback) {
		List<String> asked = ReplicaSelector.select(request, this.vms.peerAddresses(this.clock.getAsLong()), ASKED);
		this.metrics.counter("origin.asked").inc();
		Flux.fromIterable(asked)
			.flatMap((a) -> ask(a, request), ASKED)
			.next()
			.map(Optional::of)
			.defaultIfEmpty(Optional.empty())
			.subscribe(callback);
	}

	// Empty if the VM does not know the stream or does not respond.
	private Mono<StreamOrigin> ask(String address, String request) {
		return this.peers.ask(address, new OriginQuery(request), TIMEOUT_MS)
			.cast(OriginResult.class)
			.flatMapIterable(OriginResult::entries)
			.next()
			.map(OriginEntry::origin)
			.onErrorResume((ex) -> {
				if (mayLog(address)) {
					Logger.info("[origin] VM does not respond vm={} seen=\"{}\"", address, ex.toString());
				}
				return Mono.empty();
			});
	}

}
