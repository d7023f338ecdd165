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
 * A ledger of one process, for replays and tests: the state machine of the real one
 * without a store. It reads no clock: time passes by {@link #advance}. All answers are
 * kept. Each Mono it returns is signalled on the calling thread, at once or from a later
 * call. Not thread-safe.
 */
public final class InMemoryLedger implements IntentLedger {

	private static final String NODE = "memory";

	private static final LedgerLimits LIMITS = new LedgerLimits(1, 1, 1, 1, Integer.MAX_VALUE, Integer.MAX_VALUE,
			Integer.MAX_VALUE, 0, Long.MAX_VALUE / 4, Long.MAX_VALUE / 4, Integer.MAX_VALUE);

	private final Map<KeyDigest, LedgerEntry> entries = new HashMap<>();

	private final Map<KeyDigest, Deque<Waiter>> waiters = new HashMap<>();

	private long attempts;

	@Override
	public Mono<IntentDecision> begin(IntentKey key, long bodyHash, long now, long deadlineAt) {
		KeyDigest k = KeyDigest.of(key);
		Intent i = new Intent(k, bodyHash, KeyTime.NONE, new Attempt(NODE, 0, this.attempts++));
		LedgerEntry e = this.entries.get(k);
		Map<KeyDigest, LedgerEntry> m = (e != null) ? Map.of(k, e) : Map.of();
		Shard s = new Shard(LIMITS, 1, new ShardHead(0, Long.MIN_VALUE, List.of(), List.of(), m), Map.of());
		ClaimResult v = s.decide(i, now);
		if (v instanceof ClaimResult.Unclaimed) {
			this.entries.put(k, i.toEntry());
			return Mono.just(new IntentDecision.Run());
		}
		if (v instanceof ClaimResult.AlreadyClaimed taken) {
			return taken(k, taken.entry(), now, deadlineAt);
		}
		RefusalCode code = (v instanceof ClaimResult.Denied d) ? d.code() : RefusalCode.OUTCOME_UNKNOWN;
		return Mono.just(new IntentDecision.Refused(LedgerRefusals.denied(code)));
	}

	@Override
	public Mono<Void> recordAnswer(IntentKey key, byte[] answer, long now) {
		end(KeyDigest.of(key), new EntryState.Answered(answer), new IntentDecision.Answered(answer));
		return Mono.empty();
	}

	@Override
	public Mono<Void> recordUnknown(IntentKey key, long now) {
		end(KeyDigest.of(key), new EntryState.Unknown(), new IntentDecision.Refused(LedgerRefusals.outcomeUnknown()));
		return Mono.empty();
	}

	@Override
	public Mono<Void> recordNotRun(IntentKey key, long now) {
		KeyDigest k = KeyDigest.of(key);
		LedgerEntry e = this.entries.get(k);
		if (e == null || !(e.state() instanceof EntryState.InFlight)) {
			return Mono.empty();
		}
		Waiter next = nextWaiter(k, now);
		if (next == null) {
			this.entries.put(k, e.withState(new EntryState.NotStarted()));
		}
		else {
			next.sink().tryEmitValue(new IntentDecision.Run());
		}
		return Mono.empty();
	}

	/**
	 * Lets time pass: callers that wait for a request in flight and whose deadline has
	 * come are told so.
	 * @param now the present time in milliseconds
	 */
	public void advance(long now) {
		List<Waiter> due = this.waiters.values()
			.stream()
			.flatMap(Deque::stream)
			.filter((w) -> w.deadlineAt() <= now)
			.toList();
		this.waiters.values().forEach((l) -> l.removeAll(due));
		this.waiters.values().removeIf(Deque::isEmpty);
		// Told last: a caller may call back at once.
		due.forEach((w) -> w.sink().tryEmitValue(new IntentDecision.Refused(LedgerRefusals.stillRunning())));
	}

	/**
	 * Returns when {@link #advance} is due.
	 * @return the time in milliseconds, or {@link Long#MAX_VALUE} if none waits
	 */
	public long nextWake() {
		return this.waiters.values()
			.stream()
			.flatMap(Deque::stream)
			.mapToLong(Waiter::deadlineAt)
			.min()
			.orElse(Long.MAX_VALUE);
	}

	private Mono<IntentDecision> taken(KeyDigest k, LedgerEntry e, long now, long deadlineAt) {
		if (e.state() instanceof EntryState.Answered a && a.answer() != null) {
			return Mono.just(new IntentDecision.Answered(a.answer()));
		}
		if (e.state() instanceof EntryState.InFlight && deadlineAt > now) {
			Waiter w = new Waiter(Sinks.one(), deadlineAt);
			this.waiters.computeIfAbsent(k, (x) -> new ArrayDeque<>()).add(w);
			return w.sink().asMono();
		}
		return Mono.just(new IntentDecision.Refused(
				(e.state() instanceof EntryState.InFlight) ? LedgerRefusals.stillRunning() : LedgerRefusals.outcomeUnknown()));
	}

	private void end(KeyDigest k, EntryState next, IntentDecision told) {
		LedgerEntry e = this.entries.get(k);
		if (e == null || !e.state().canTransitionTo(next)) {
			return;
		}
		this.entries.put(k, e.withState(next));
		Deque<Waiter> l = this.waiters.remove(k);
		if (l != null) {
			l.forEach((w) -> w.sink().tryEmitValue(told));
		}
	}

	private @Nullable Waiter nextWaiter(KeyDigest k, long now) {
		advance(now);
		Deque<Waiter> l = this.waiters.get(k);
		Waiter w = (l != null) ? l.poll() : null;
		this.waiters.values().removeIf(Deque::isEmpty);
		return w;
	}

	private record Waiter(Sinks.One<IntentDecision> sink, long deadlineAt) {

	}

}
