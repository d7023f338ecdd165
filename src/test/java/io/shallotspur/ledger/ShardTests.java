package io.shallotspur.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.Test;

import io.shallotspur.exc.InputException;
import io.shallotspur.outcome.Outcome;
import io.shallotspur.outcome.RefusalCode;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ShardTests {

	private static final LedgerLimits LIMITS = LedgerLimits.DEFAULT;

	@Test
	void extractsTimestampsFromKeys() {
		assertThat(KeyTime.of("01890a5d-ac96-774b-bcce-b302099a8057")).isEqualTo(0x01890a5dac96L);
		assertThat(KeyTime.of("01ARZ3NDEKTSV4RRFFQ69G5FAV")).isEqualTo(1469922850259L);
		assertThat(KeyTime.of("1790000000000-renewal-7")).isEqualTo(1790000000000L);
		assertThat(KeyTime.of("9b2d4c1e-52a0-4f0e-9b1c-0a1b2c3d4e5f")).isEqualTo(KeyTime.NONE);
		assertThat(KeyTime.of("r1")).isEqualTo(KeyTime.NONE);
		assertThat(KeyDigest.of(new IntentKey("a", "bc"))).isNotEqualTo(KeyDigest.of(new IntentKey("ab", "c")));
	}

	@Test
	void keyOlderThanTheWindowIsRefusedAndNotRunAgain() {
		// A kiosk resends a key-card encoding request an hour later, after its
		// ledger entry was dropped. Running it again would issue a second valid key.
		Shard shard = Shard.empty(LIMITS, 128);
		ClaimResult result = shard.decide(intent(1, 1_000, 1), 1_000 + LIMITS.windowMs());
		assertThat(result).isEqualTo(new ClaimResult.Denied(RefusalCode.KEY_EXPIRED));
		assertThat(LedgerRefusals.denied(RefusalCode.KEY_EXPIRED).outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
		assertThat(shard.decide(intent(1, 1_000, 1), 2_000)).isEqualTo(new ClaimResult.Unclaimed());
	}

	@Test
	void droppedKeysStayRefusedWhenClockLags() {
		// A node whose clock is ahead drops a segment. By the clock of the next node, its
		// keys are still within the window.
		LedgerLimits limits = LIMITS.withSegments(100, 4, 1_000);
		Shard shard = Shard.empty(limits, 4).withIntents(List.of(intent(1, 1_000, 1), intent(2, 1_100, 2)));
		shard = shard.withSealedHead(shard.toSegment(1)).withBatch(new BatchId("n", 1, 1), 9_000);
		assertThat(shard.find(new KeyDigest(0, 1))).isEmpty();
		assertThat(shard.decide(intent(1, 1_000, 3), 1_200)).isEqualTo(new ClaimResult.Denied(RefusalCode.KEY_EXPIRED));
	}

	@Test
	void fullShardRefusesNewKeysAndRetainsExistingOnes() {
		LedgerLimits limits = LIMITS.withSegments(100, 2, 1_000_000);
		Shard shard = Shard.empty(limits, 2);
		long key = 0;
		while (shard.decide(intent(key, KeyTime.NONE, key), 0) instanceof ClaimResult.Unclaimed) {
			shard = shard.withIntents(List.of(intent(key, KeyTime.NONE, key))).withBatch(new BatchId("n", 1, key), 0);
			shard = shard.shouldSeal() ? shard.withSealedHead(shard.toSegment(key)) : shard;
			key++;
		}
		assertThat(key).isGreaterThan(3);
		assertThat(shard.decide(intent(key, KeyTime.NONE, key), 0))
			.isEqualTo(new ClaimResult.Denied(RefusalCode.KEY_REQUIRED));
		for (long k = 0; k < key; k++) {
			assertThat(shard.decide(intent(k, KeyTime.NONE, 1_000), 0)).isInstanceOf(ClaimResult.AlreadyClaimed.class);
		}
	}

	@Test
	void resultsOnlyAddCertainty() {
		// Messages may be duplicated and reordered. If a stale "not run" message released
		// an answered key, the next retry would run the request again.
		Shard shard = Shard.empty(LIMITS, 128).withIntents(List.of(intent(1, KeyTime.NONE, 1)));
		Shard answered = shard.withAttemptResults(List.of(result(1, new EntryState.Answered(null))));
		assertThat(answered.withAttemptResults(List.of(result(1, new EntryState.NotStarted())))).isSameAs(answered);
		assertThat(answered.withAttemptResults(List.of(result(1, new EntryState.Unknown())))).isSameAs(answered);
		assertThat(shard.withAttemptResults(List.of(result(2, new EntryState.NotStarted())))).isSameAs(shard);
		Shard unknown = shard.withAttemptResults(List.of(result(1, new EntryState.Unknown())));
		assertThat(
				unknown.withAttemptResults(List.of(result(1, new EntryState.Answered(null)))).find(new KeyDigest(0, 1)))
			.hasValueSatisfying((e) -> assertThat(e.state()).isInstanceOf(EntryState.Answered.class));
		Shard free = shard.withAttemptResults(List.of(result(1, new EntryState.NotStarted())));
		assertThat(free.withAttemptResults(List.of(result(1, new EntryState.Answered(null))))).isSameAs(free);
		assertThat(free.decide(intent(1, KeyTime.NONE, 3), 0)).isEqualTo(new ClaimResult.Unclaimed());
	}

	@Test
	void headStaysUnderAMegabyte() {
		List<Intent> intents = new ArrayList<>();
		List<AttemptResult> results = new ArrayList<>();
		int n = (LIMITS.sealThresholdBytes() + 2 * LIMITS.maxBatchBytes()) / 72;
		for (long i = 0; i < n; i++) {
			Intent intent = new Intent(new KeyDigest(~i, i), ~i, Long.MAX_VALUE - i, new Attempt("10.0.0.1:99", 1, ~i));
			intents.add(intent);
			results.add(new AttemptResult(intent.key(), intent.attempt(), new EntryState.Answered(null)));
		}
		Shard shard = Shard.empty(LIMITS, 128).withIntents(intents).withAttemptResults(results);
		assertThat(ShardCodec.encode(shard.head()).length).isLessThanOrEqualTo(n * 72).isLessThan(1_000_000);
	}

	@Test
	void malformedRecordThrowsInputException() {
		assertThatThrownBy(() -> ShardCodec.decodeHead(new byte[] { 9 })).isInstanceOf(InputException.class);
		assertThatThrownBy(() -> ShardCodec.decodeSegment(new byte[0])).isInstanceOf(InputException.class);
	}

	@Test
	void keyReusedWithAnotherBodyIsRefused() {
		Shard shard = Shard.empty(LIMITS, 128).withIntents(List.of(intent(1, KeyTime.NONE, 1)));
		Intent other = new Intent(new KeyDigest(0, 1), 99, KeyTime.NONE, new Attempt("n", 1, 2));
		assertThat(shard.decide(other, 0)).isEqualTo(new ClaimResult.Denied(RefusalCode.KEY_REUSED));
	}

	@Test
	void lateAndDuplicateChunksAreDropped() {
		// A worker is slow, the request is retried, and the first worker's response
		// then arrives late. The caller must not receive tokens of both.
		AttemptFilter filter = new AttemptFilter();
		filter.start(1);
		assertThat(filter.accept(1, 0)).isTrue();
		assertThat(filter.accept(1, 0)).isFalse();
		assertThat(filter.accept(1, 2)).isFalse();
		filter.start(2);
		assertThat(filter.accept(1, 1)).isFalse();
		assertThat(filter.accept(2, 1)).isTrue();
		assertThat(filter.end(1, 2)).isFalse();
		assertThat(filter.end(2, 3)).isFalse();
		assertThat(filter.end(2, 2)).isTrue();
		assertThat(filter.end(2, 2)).isFalse();
		assertThat(filter.accept(2, 2)).isFalse();
	}

	@Test
	void inMemoryLedgerJoinsWaitersReplaysAnswersAndExpiresDeadlines() {
		InMemoryLedger ledger = new InMemoryLedger();
		IntentKey k = new IntentKey("c", "k1");
		assertThat(ledger.begin(k, 1, 0, 100).block()).isInstanceOf(IntentDecision.Run.class);
		AtomicReference<IntentDecision> late = new AtomicReference<>();
		AtomicReference<IntentDecision> joined = new AtomicReference<>();
		ledger.begin(k, 1, 1, 50).subscribe(late::set);
		ledger.begin(k, 1, 1, 500).subscribe(joined::set);
		assertThat(ledger.nextWake()).isEqualTo(50);
		ledger.advance(50);
		assertThat(late.get()).isInstanceOfSatisfying(IntentDecision.Refused.class,
				(r) -> assertThat(r.refusal().outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN));
		ledger.recordNotRun(k, 60).block();
		assertThat(joined.get()).isInstanceOf(IntentDecision.Run.class);
		ledger.recordAnswer(k, new byte[] { 7 }, 70).block();
		assertThat(ledger.begin(k, 1, 80, 100).block()).isInstanceOfSatisfying(IntentDecision.Answered.class,
				(a) -> assertThat(a.answer()).containsExactly(7));
		assertThat(ledger.begin(k, 2, 80, 100).block()).isInstanceOf(IntentDecision.Refused.class);
	}

	private static AttemptResult result(long attempt, EntryState state) {
		return new AttemptResult(new KeyDigest(0, 1), new Attempt("n", 1, attempt), state);
	}

	private static Intent intent(long key, long time, long attempt) {
		return new Intent(new KeyDigest(0, key), key, time, new Attempt("n", 1, attempt));
	}

}
