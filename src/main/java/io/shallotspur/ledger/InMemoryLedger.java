package io.shallotspur.ledger;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

import io.shallotspur.outcome.RefusalCode;

/**
 * In-memory ledger of a single process, for replays and tests. It uses the same state
 * machine as the distributed ledger, without a store. It does not read the clock;
 * {@link #advance} sets the current time. All answers are retained. Each returned Mono is
 * signalled on the calling thread, either immediately or during a later call. Not
 * thread-safe.
 */
public final class InMemoryLedger implements IntentLedger {

	private static final String NODE = "memory";

	private static final LedgerLimits LIMITS = new LedgerLimits(1, 1, 1, 1, Integer.MAX_VALUE, Integer.MAX_VALUE,
			Integer.MAX_VALUE, 0, Long.MAX_VALUE / 4, Long.MAX_VALUE / 4, Integer.MAX_VALUE);

	private final Map<KeyDigest, LedgerEntry> entries = new HashMap<>();

	private final Map<KeyDigest, Deque<Waiter>> waiters = new HashMap<>();

	private long nextAttempt;

	@Override
	public Mono<IntentDecision> begin(IntentKey key, long bodyHash, long now, long deadlineAt) {
		KeyDigest digest = KeyDigest.of(key);
		Intent i = new Intent(digest, bodyHash, KeyTime.NONE, new Attempt(NODE, 0, this.nextAttempt++));
		LedgerEntry e = this.entries.get(digest);
		Map<KeyDigest, LedgerEntry> m = (e != null) ? Map.of(digest, e) : Map.of();
		Shard s = new Shard(LIMITS, 1, new ShardHead(0, Long.MIN_VALUE, List.of(), List.of(), m), Map.of());
		ClaimResult v = s.decide(i, now);
		if (v instanceof ClaimResult.Unclaimed) {
			this.entries.put(digest, i.toEntry());
			return Mono.just(new IntentDecision.Run());
		}
		if (v instanceof ClaimResult.AlreadyClaimed claimed) {
			return resolveClaimed(digest, claimed.entry(), now, deadlineAt);
		}
		RefusalCode code = (v instanceof ClaimResult.Denied d) ? d.code() : RefusalCode.OUTCOME_UNKNOWN;
		return Mono.just(new IntentDecision.Refused(LedgerRefusals.denied(code)));
	}

	@Override
	public Mono<Void> recordAnswer(IntentKey key, byte[] answer, long now) {
		complete(KeyDigest.of(key), new EntryState.Answered(answer), new IntentDecision.Answered(answer));
		return Mono.empty();
	}

	@Override
	public Mono<Void> recordUnknown(IntentKey key, long now) {
		complete(KeyDigest.of(key), new EntryState.Unknown(),
				new IntentDecision.Refused(LedgerRefusals.outcomeUnknown()));
		return Mono.empty();
	}

	@Override
	public Mono<Void> recordNotRun(IntentKey key, long now) {
		KeyDigest digest = KeyDigest.of(key);
		LedgerEntry e = this.entries.get(digest);
		if (e == null || !(e.state() instanceof EntryState.InFlight)) {
			return Mono.empty();
		}
		Waiter next = nextWaiter(digest, now);
		if (next == null) {
			this.entries.put(digest, e.withState(new EntryState.NotStarted()));
		}
		else {
			next.sink().tryEmitValue(new IntentDecision.Run());
		}
		return Mono.empty();
	}

	/**
	 * Advances the time and refuses the callers that wait for a request in flight and
	 * whose deadline has passed.
	 * @param now the current time in milliseconds
	 */
	public void advance(long now) {
		List<Waiter> due = this.waiters.values()
			.stream()
			.flatMap(Deque::stream)
			.filter((w) -> w.deadlineAt() <= now)
			.toList();
		this.waiters.values().forEach((l) -> l.removeAll(due));
		this.waiters.values().removeIf(Deque::isEmpty);
		// Signalled last because a subscriber may call this ledger reentrantly.
		due.forEach((w) -> w.sink().tryEmitValue(new IntentDecision.Refused(LedgerRefusals.stillRunning())));
	}

	/**
	 * Returns the time at which {@link #advance} must be called next.
	 * @return the time in milliseconds, or {@link Long#MAX_VALUE} if no caller is waiting
	 */
	public long nextWake() {
		return this.waiters.values()
			.stream()
			.flatMap(Deque::stream)
			.mapToLong(Waiter::deadlineAt)
			.min()
			.orElse(Long.MAX_VALUE);
	}

	private Mono<IntentDecision> resolveClaimed(KeyDigest digest, LedgerEntry e, long now, long deadlineAt) {
		if (e.state() instanceof EntryState.Answered a && a.answer() != null) {
			return Mono.just(new IntentDecision.Answered(a.answer()));
		}
		if (e.state() instanceof EntryState.InFlight && deadlineAt > now) {
			Waiter w = new Waiter(Sinks.one(), deadlineAt);
			this.waiters.computeIfAbsent(digest, (x) -> new ArrayDeque<>()).add(w);
			return w.sink().asMono();
		}
		return Mono.just(new IntentDecision.Refused((e.state() instanceof EntryState.InFlight)
				? LedgerRefusals.stillRunning() : LedgerRefusals.outcomeUnknown()));
	}

	private void complete(KeyDigest digest, EntryState next, IntentDecision decision) {
		LedgerEntry e = this.entries.get(digest);
		if (e == null || !e.state().canTransitionTo(next)) {
			return;
		}
		this.entries.put(digest, e.withState(next));
		Deque<Waiter> l = this.waiters.remove(digest);
		if (l != null) {
			l.forEach((w) -> w.sink().tryEmitValue(decision));
		}
	}

	private @Nullable Waiter nextWaiter(KeyDigest digest, long now) {
		advance(now);
		Deque<Waiter> l = this.waiters.get(digest);
		Waiter w = (l != null) ? l.poll() : null;
		this.waiters.values().removeIf(Deque::isEmpty);
		return w;
	}

	private record Waiter(Sinks.One<IntentDecision> sink, long deadlineAt) {

	}

}
