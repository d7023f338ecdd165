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
 * machine as the distributed ledger, without a store. It neither reads a clock nor stores
 * the current time: callers pass it. All answers are retained. Each returned Mono is
 * signalled on the calling thread, immediately or during a later call. Not thread-safe.
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
		Intent intent = new Intent(digest, bodyHash, KeyTime.NONE, new Attempt(NODE, 0, this.nextAttempt++));
		LedgerEntry entry = this.entries.get(digest);
		Map<KeyDigest, LedgerEntry> known = (entry != null) ? Map.of(digest, entry) : Map.of();
		Shard shard = new Shard(LIMITS, 1, new ShardHead(0, Long.MIN_VALUE, List.of(), List.of(), known), Map.of());
		ClaimResult result = shard.decide(intent, now);
		if (result instanceof ClaimResult.Unclaimed) {
			this.entries.put(digest, intent.toEntry());
			return Mono.just(new IntentDecision.Run());
		}
		if (result instanceof ClaimResult.AlreadyClaimed other) {
			return resolveClaimed(digest, other.entry(), now, deadlineAt);
		}
		RefusalCode code = (result instanceof ClaimResult.Denied denied) ? denied.code() : RefusalCode.OUTCOME_UNKNOWN;
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
		LedgerEntry entry = this.entries.get(digest);
		if (entry == null || !(entry.state() instanceof EntryState.InFlight)) {
			return Mono.empty();
		}
		Waiter next = nextWaiter(digest, now);
		if (next == null) {
			this.entries.put(digest, entry.withState(new EntryState.NotStarted()));
		}
		else {
			next.sink().tryEmitValue(new IntentDecision.Run());
		}
		return Mono.empty();
	}

	/**
	 * Refuses the callers that wait for a request in flight beyond their deadline.
	 * @param now the current time in milliseconds
	 */
	public void advance(long now) {
		List<Waiter> due = this.waiters.values()
			.stream()
			.flatMap(Deque::stream)
			.filter((waiter) -> waiter.deadlineAt() <= now)
			.toList();
		this.waiters.values().forEach((queue) -> queue.removeAll(due));
		this.waiters.values().removeIf(Deque::isEmpty);
		// Signalled last because a subscriber may call this ledger reentrantly.
		due.forEach((waiter) -> waiter.sink().tryEmitValue(new IntentDecision.Refused(LedgerRefusals.stillRunning())));
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

	private Mono<IntentDecision> resolveClaimed(KeyDigest digest, LedgerEntry entry, long now, long deadlineAt) {
		if (entry.state() instanceof EntryState.Answered a && a.answer() != null) {
			return Mono.just(new IntentDecision.Answered(a.answer()));
		}
		if (entry.state() instanceof EntryState.InFlight && deadlineAt > now) {
			Waiter waiter = new Waiter(Sinks.one(), deadlineAt);
			this.waiters.computeIfAbsent(digest, (x) -> new ArrayDeque<>()).add(waiter);
			return waiter.sink().asMono();
		}
		return Mono.just(new IntentDecision.Refused((entry.state() instanceof EntryState.InFlight)
				? LedgerRefusals.stillRunning() : LedgerRefusals.outcomeUnknown()));
	}

	private void complete(KeyDigest digest, EntryState next, IntentDecision decision) {
		LedgerEntry entry = this.entries.get(digest);
		if (entry == null || !entry.state().canTransitionTo(next)) {
			return;
		}
		this.entries.put(digest, entry.withState(next));
		Deque<Waiter> queue = this.waiters.remove(digest);
		if (queue != null) {
			queue.forEach((waiter) -> waiter.sink().tryEmitValue(decision));
		}
	}

	private @Nullable Waiter nextWaiter(KeyDigest digest, long now) {
		advance(now);
		Deque<Waiter> queue = this.waiters.get(digest);
		Waiter waiter = (queue != null) ? queue.poll() : null;
		this.waiters.values().removeIf(Deque::isEmpty);
		return waiter;
	}

	private record Waiter(Sinks.One<IntentDecision> sink, long deadlineAt) {

	}

}
