package io.shallotspur.node;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;

import io.shallotspur.ledger.IntentDecision;
import io.shallotspur.ledger.IntentKey;
import io.shallotspur.ledger.IntentLedger;
import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;

/**
 * A ledger in memory that can be told to be down. It writes down what it was told.
 */
final class FakeLedger implements IntentLedger {

	final List<String> calls = new CopyOnWriteArrayList<>();

	private final Map<IntentKey, byte[]> answers = new ConcurrentHashMap<>();

	private final Map<IntentKey, Boolean> intents = new ConcurrentHashMap<>();

	volatile @Nullable Refusal down;

	@Override
	public Mono<IntentDecision> begin(IntentKey key, long bodyHash, long now, long deadlineAt) {
		this.calls.add("begin " + key.key());
		Refusal r = this.down;
		if (r != null) {
			return Mono.just(new IntentDecision.Refused(r));
		}
		byte[] a = this.answers.get(key);
		if (a != null) {
			return Mono.just(new IntentDecision.Answered(a));
		}
		if (this.intents.putIfAbsent(key, true) != null) {
			return Mono
				.just(new IntentDecision.Refused(Refusal.outcomeUnknown(RefusalCode.OUTCOME_UNKNOWN, "In doubt.")));
		}
		return Mono.just(new IntentDecision.Run());
	}

	@Override
	public Mono<Void> recordAnswer(IntentKey key, byte[] answer, long now) {
		return Mono.fromRunnable(() -> {
			this.calls.add("answered " + key.key());
			this.answers.put(key, answer);
		});
	}

	@Override
	public Mono<Void> recordUnknown(IntentKey key, long now) {
		return Mono.fromRunnable(() -> this.calls.add("unknown " + key.key()));
	}

	@Override
	public Mono<Void> recordNotRun(IntentKey key, long now) {
		return Mono.fromRunnable(() -> {
			this.calls.add("notRun " + key.key());
			this.intents.remove(key);
		});
	}

}
