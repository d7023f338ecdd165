package io.shallotspur.node.quarantine;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

import io.shallotspur.port.PeerNetwork;
import io.shallotspur.quarantine.CrashSuspects;
import io.shallotspur.quarantine.SuspectEntry;
import io.shallotspur.quarantine.SuspectsRequest;
import io.shallotspur.quarantine.SuspectsUpdate;

/**
 * Keeps the suspects of a node and of its peers alike: changes are told to all peers at
 * once, and now and then one peer is asked for all it knows, which mends what a lost
 * message left out. Thread-safe.
 */
public final class SuspectExchange {

	/**
	 * The most entries in one message.
	 */
	static final int MAX_ENTRIES = 512;

	private static final long ASK_TIMEOUT_MS = 1_000;

	private final String self;

	private final CrashSuspects suspects;

	private final PeerNetwork peers;

	private final Supplier<List<String>> addresses;

	private final Scheduler scheduler;

	/**
	 * Creates the exchange and sets its message handlers.
	 * @param self the peer address of this node
	 * @param suspects what this node knows
	 * @param peers the links, not started yet
	 * @param addresses the peer addresses of the other nodes that are alive
	 * @param scheduler keeps the time
	 */
	public SuspectExchange(String self, CrashSuspects suspects, PeerNetwork peers, Supplier<List<String>> addresses,
			Scheduler scheduler) {
		this.self = self;
		this.suspects = suspects;
		this.peers = peers;
		this.addresses = addresses;
		this.scheduler = scheduler;
		peers.onSend(SuspectsUpdate.class, this::told);
		peers.onAsk(SuspectsRequest.class, (a) -> Mono.fromSupplier(this::all));
	}

	/**
	 * Tells all peers what has changed here. To be called after each crash and each
	 * completion of a suspect, and cheap if nothing has changed.
	 */
	public void tellChanges() {
		List<SuspectEntry> changes = this.suspects.drainChanges(now());
		for (int from = 0; from < changes.size(); from += MAX_ENTRIES) {
			int to = Math.min(changes.size(), from + MAX_ENTRIES);
			SuspectsUpdate m = new SuspectsUpdate(List.copyOf(changes.subList(from, to)));
			this.addresses.get().forEach((a) -> this.peers.send(a, m));
		}
	}

	/**
	 * Asks one peer for all it knows. To be called at the start and every few seconds.
	 * @param random picks the peer
	 */
	public void repair(RandomGenerator random) {
		List<String> l = this.addresses.get();
		if (!l.isEmpty()) {
			this.peers.ask(l.get(random.nextInt(l.size())), new SuspectsRequest(this.self), ASK_TIMEOUT_MS)
				.cast(SuspectsUpdate.class)
				.subscribe(this::told, (ex) -> Logger.debug("[quarantine] a peer did not answer: {}", ex));
		}
	}

	private SuspectsUpdate all() {
		List<SuspectEntry> l = this.suspects.entries(now());
		return new SuspectsUpdate(List.copyOf(l.subList(0, Math.min(l.size(), MAX_ENTRIES))));
	}

	private void told(SuspectsUpdate m) {
		Set<Long> convicted = this.suspects.merge(m.entries(), now());
		convicted.forEach(
				(fp) -> Logger.warn("[quarantine] Request {} is quarantined on word of a peer.", Long.toHexString(fp)));
	}

	private long now() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

}
