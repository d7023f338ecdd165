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
		// A kiosk resends a key-card encoding request an hour later, after its ledger
		// entry
		// was dropped. Running it again would issue a second valid key.
		Shard s = Shard.empty(LIMITS, 128);
		ClaimResult v = s.decide(intent(1, 1_000, 1), 1_000 + LIMITS.windowMs());
		assertThat(v).isEqualTo(new ClaimResult.Denied(RefusalCode.KEY_EXPIRED));
		assertThat(LedgerRefusals.denied(RefusalCode.KEY_EXPIRED).outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
		assertThat(s.decide(intent(1, 1_000, 1), 2_000)).isEqualTo(new ClaimResult.Unclaimed());
	}

	@Test
	void droppedKeysStayRefusedWhenClockLags() {
		// A node whose clock is ahead drops a segment. By the clock of the next node, its
		// keys are still within the window.
		LedgerLimits l = LIMITS.withSegments(100, 4, 1_000);
		Shard s = Shard.empty(l, 4).withIntents(List.of(intent(1, 1_000, 1), intent(2, 1_100, 2)));
		s = s.withSealedHead(s.toSegment(1)).withBatch(new BatchId("n", 1, 1), 9_000);
		assertThat(s.find(new KeyDigest(0, 1))).isEmpty();
		assertThat(s.decide(intent(1, 1_000, 3), 1_200)).isEqualTo(new ClaimResult.Denied(RefusalCode.KEY_EXPIRED));
	}

	@Test
	void fullShardRefusesNewKeysAndRetainsExistingOnes() {
		LedgerLimits l = LIMITS.withSegments(100, 2, 1_000_000);
		Shard s = Shard.empty(l, 2);
		long key = 0;
		while (s.decide(intent(key, KeyTime.NONE, key), 0) instanceof ClaimResult.Unclaimed) {
			s = s.withIntents(List.of(intent(key, KeyTime.NONE, key))).withBatch(new BatchId("n", 1, key), 0);
			s = s.shouldSeal() ? s.withSealedHead(s.toSegment(key)) : s;
			key++;
		}
		assertThat(key).isGreaterThan(3);
		assertThat(s.decide(intent(key, KeyTime.NONE, key), 0))
			.isEqualTo(new ClaimResult.Denied(RefusalCode.KEY_REQUIRED));
		for (long k = 0; k < key; k++) {
			assertThat(s.decide(intent(k, KeyTime.NONE, 1_000), 0)).isInstanceOf(ClaimResult.AlreadyClaimed.class);
		}
	}

	@Test
	void resultsOnlyAddCertainty() {
		// Messages may be duplicated and reordered. If a stale "not run" message released
		// an answered key, the next retry would run the request again.
		Shard s = Shard.empty(LIMITS, 128).withIntents(List.of(intent(1, KeyTime.NONE, 1)));
		Shard answered = s.withAttemptResults(List.of(result(1, new EntryState.Answered(null))));
		assertThat(answered.withAttemptResults(List.of(result(1, new EntryState.NotStarted())))).isSameAs(answered);
		assertThat(answered.withAttemptResults(List.of(result(1, new EntryState.Unknown())))).isSameAs(answered);
		assertThat(s.withAttemptResults(List.of(result(2, new EntryState.NotStarted())))).isSameAs(s);
		Shard unknown = s.withAttemptResults(List.of(result(1, new EntryState.Unknown())));
		assertThat(
				unknown.withAttemptResults(List.of(result(1, new EntryState.Answered(null)))).find(new KeyDigest(0, 1)))
			.hasValueSatisfying((e) -> assertThat(e.state()).isInstanceOf(EntryState.Answered.class));
		Shard free = s.withAttemptResults(List.of(result(1, new EntryState.NotStarted())));
		assertThat(free.withAttemptResults(List.of(result(1, new EntryState.Answered(null))))).isSameAs(free);
		assertThat(free.decide(intent(1, KeyTime.NONE, 3), 0)).isEqualTo(new ClaimResult.Unclaimed());
	}

	@Test
	void headStaysUnderAMegabyte() {
		List<Intent> intents = new ArrayList<>();
		List<AttemptResult> results = new ArrayList<>();
		int n = (LIMITS.sealThresholdBytes() + 2 * LIMITS.maxBatchBytes()) / 72;
		for (long i = 0; i < n; i++) {
			Intent x = new Intent(new KeyDigest(~i, i), ~i, Long.MAX_VALUE - i, new Attempt("10.0.0.1:99", 1, ~i));
			intents.add(x);
			results.add(new AttemptResult(x.key(), x.attempt(), new EntryState.Answered(null)));
		}
		Shard s = Shard.empty(LIMITS, 128).withIntents(intents).withAttemptResults(results);
		assertThat(ShardCodec.encode(s.head()).length).isLessThanOrEqualTo(n * 72).isLessThan(1_000_000);
	}

	@Test
	void malformedRecordThrowsInputException() {
		assertThatThrownBy(() -> ShardCodec.decodeHead(new byte[] { 9 })).isInstanceOf(InputException.class);
		assertThatThrownBy(() -> ShardCodec.decodeSegment(new byte[0])).isInstanceOf(InputException.class);
	}

	@Test
	void keyReusedWithAnotherBodyIsRefused() {
		Shard s = Shard.empty(LIMITS, 128).withIntents(List.of(intent(1, KeyTime.NONE, 1)));
		Intent other = new Intent(new KeyDigest(0, 1), 99, KeyTime.NONE, new Attempt("n", 1, 2));
		assertThat(s.decide(other, 0)).isEqualTo(new ClaimResult.Denied(RefusalCode.KEY_REUSED));
	}

	@Test
	void lateAndDuplicateChunksAreDropped() {
		// A worker is slow, the request is retried, and the first worker's response then
		// arrives late. The caller must not receive tokens of both.
		AttemptFilter f = new AttemptFilter();
		f.start(1);
		assertThat(f.accept(1, 0)).isTrue();
		assertThat(f.accept(1, 0)).isFalse();
		assertThat(f.accept(1, 2)).isFalse();
		f.start(2);
		assertThat(f.accept(1, 1)).isFalse();
		assertThat(f.accept(2, 1)).isTrue();
		assertThat(f.end(1, 2)).isFalse();
		assertThat(f.end(2, 3)).isFalse();
		assertThat(f.end(2, 2)).isTrue();
		assertThat(f.end(2, 2)).isFalse();
		assertThat(f.accept(2, 2)).isFalse();
	}

	@Test
	void inMemoryLedgerJoinsWaitersReplaysAnswersAndExpiresDeadlines() {
		InMemoryLedger l = new InMemoryLedger();
		IntentKey k = new IntentKey("c", "k1");
		assertThat(l.begin(k, 1, 0, 100).block()).isInstanceOf(IntentDecision.Run.class);
		AtomicReference<IntentDecision> late = new AtomicReference<>();
		AtomicReference<IntentDecision> joined = new AtomicReference<>();
		l.begin(k, 1, 1, 50).subscribe(late::set);
		l.begin(k, 1, 1, 500).subscribe(joined::set);
		assertThat(l.nextWake()).isEqualTo(50);
		l.advance(50);
		assertThat(late.get()).isInstanceOfSatisfying(IntentDecision.Refused.class,
				(r) -> assertThat(r.refusal().outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN));
		l.recordNotRun(k, 60).block();
		assertThat(joined.get()).isInstanceOf(IntentDecision.Run.class);
		l.recordAnswer(k, new byte[] { 7 }, 70).block();
		assertThat(l.begin(k, 1, 80, 100).block()).isInstanceOfSatisfying(IntentDecision.Answered.class,
				(a) -> assertThat(a.answer()).containsExactly(7));
		assertThat(l.begin(k, 2, 80, 100).block()).isInstanceOf(IntentDecision.Refused.class);
	}

	private static AttemptResult result(long attempt, EntryState s) {
		return new AttemptResult(new KeyDigest(0, 1), new Attempt("n", 1, attempt), s);
	}

	private static Intent intent(long key, long time, long attempt) {
		return new Intent(new KeyDigest(0, key), key, time, new Attempt("n", 1, attempt));
	}

}
