package io.shallotspur.node.ledger;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import io.shallotspur.ledger.IntentDecision;
import io.shallotspur.node.ledger.FaultyStore.Fault;
import io.shallotspur.node.ledger.LedgerFleet.Call;
import io.shallotspur.outcome.Outcome;
import io.shallotspur.outcome.RefusalCode;

import static org.assertj.core.api.Assertions.assertThat;

class LedgerServiceTests {

	private static final byte[] SMALL = { 1, 2, 3 };

	private static final byte[] LARGE = new byte[1_000];

	private final LedgerFleet fleet = new LedgerFleet(3, 11);

	@Test
	void resendInFlightGetsTheSameAnswerThroughAnyNode() {
		// A clerk's console loses its connection while the renewal runs and sends it
		// again to the same and to another entry VM. Run twice, the passenger would pay
		// twice.
		Call first = begin(1, 10_000);
		Call same = begin(1, 10_000);
		Call other = begin(2, 10_000);
		assertThat(first.decision()).isInstanceOf(IntentDecision.Run.class);
		assertThat(same.isTold() || other.isTold()).isFalse();
		this.fleet.node(1).service().recordAnswer(first.key(), SMALL, this.fleet.now()).subscribe();
		this.fleet.advance(1_000);
		assertAnswer(same, SMALL);
		assertAnswer(other, SMALL);
		assertAnswer(begin(0, 1_000), SMALL);
	}

	@Test
	void twoAtTheSameInstantThroughTwoNodesRunOnce() {
		List<Call> calls = new ArrayList<>();
		for (int n = 0; n < 3; n++) {
			calls.add(this.fleet.node(n).begin("k", 1, 5_000));
			calls.add(this.fleet.node(n).begin("k", 1, 5_000));
		}
		this.fleet.advance(400);
		assertThat(calls.stream().filter((c) -> c.isTold() && c.decision() instanceof IntentDecision.Run)).hasSize(1);
	}

	@Test
	void crashOfTheNodeThatRanItIsUnknownAndNeverRunAgain() {
		assertThat(begin(1, 1_000).decision()).isInstanceOf(IntentDecision.Run.class);
		this.fleet.node(1).crash();
		assertRefused(begin(2, 5_000), RefusalCode.OUTCOME_UNKNOWN, Outcome.OUTCOME_UNKNOWN);
		this.fleet.node(1).restart();
		assertRefused(begin(1, 5_000), RefusalCode.OUTCOME_UNKNOWN, Outcome.OUTCOME_UNKNOWN);
	}

	@Test
	void storeDownIsRefusedAsNotRunWithinTheDeadline() {
		this.fleet.store().setDown(true);
		for (int n = 0; n < 3; n++) {
			Call c = this.fleet.node(n).begin("k" + n, 1, 800);
			this.fleet.advance(2_000);
			assertRefused(c, RefusalCode.STORE_UNAVAILABLE, Outcome.NOT_RUN);
			assertThat(c.toldAt()).isLessThan(c.deadlineAt());
		}
		this.fleet.store().setDown(false);
		this.fleet.advance(1_000);
		assertThat(begin(1, 1_000).decision()).isInstanceOf(IntentDecision.Run.class);
	}

	@Test
	void hungStoreIsRefusedAndTheLateWriteDoesNotBlockTheKey() {
		// The store takes seconds. The write that was given up lands after the caller was
		// told "not run"; a resend must be run, not be told "unknown" for ever.
		this.fleet.store().setHung(true);
		Call c = begin(0, 600);
		this.fleet.advance(1_000);
		assertRefused(c, RefusalCode.STORE_UNAVAILABLE, Outcome.NOT_RUN);
		this.fleet.store().setHung(false);
		this.fleet.advance(8_000);
		Call again = begin(2, 3_000);
		this.fleet.advance(1_000);
		assertThat(again.decision()).isInstanceOf(IntentDecision.Run.class);
	}

	@Test
	void lostAnswersAreSettledBeforeAnythingIsTold() {
		for (Fault f : Fault.values()) {
			this.fleet.store().failNext(f);
			Call c = this.fleet.node(0).begin("key " + f, 1, 6_000);
			this.fleet.advance(5_000);
			assertThat(c.decision()).as(f.name()).isInstanceOf(IntentDecision.Run.class);
			Call again = this.fleet.node(1).begin("key " + f, 1, 300);
			this.fleet.advance(1_000);
			assertRefused(again, RefusalCode.DEADLINE_PASSED, Outcome.OUTCOME_UNKNOWN);
		}
	}

	@Test
	void unreachableOwnerIsBypassedAndAPausedOneRunsNothingTwice() {
		// The node that writes the shard is paused with the commit half done. Callers are
		// served by the others; when it wakes, its write fails and it grants nothing.
		Call stuck = this.fleet.node(0).begin("k", 1, 20_000);
		this.fleet.node(0).pause();
		Call c = begin(1, 3_000);
		this.fleet.advance(2_000);
		assertThat(c.decision()).isInstanceOf(IntentDecision.Run.class);
		this.fleet.node(0).resume();
		this.fleet.advance(2_000);
		assertThat(stuck.isTold()).isFalse();
		this.fleet.node(1).service().recordAnswer(c.key(), SMALL, this.fleet.now()).subscribe();
		this.fleet.advance(2_000);
		assertAnswer(stuck, SMALL);
	}

	@Test
	void movingShardUnderLoadRunsEachKeyOnce() {
		int runs = 0;
		for (int i = 0; i < 60; i++) {
			this.fleet.prefer(i % 3);
			List<Call> calls = new ArrayList<>();
			for (int n = 0; n < 3; n++) {
				calls.add(this.fleet.node(n).begin("key " + i, 1, 4_000));
			}
			this.fleet.advance(7);
			this.fleet.prefer((i + 1) % 3);
			this.fleet.advance(1_500);
			long granted = calls.stream()
				.filter((c) -> c.isTold() && c.decision() instanceof IntentDecision.Run)
				.count();
			assertThat(granted).isLessThanOrEqualTo(1);
			runs += (int) granted;
		}
		assertThat(runs).isEqualTo(60);
	}

	@Test
	void largeAnswerIsFetchedFromTheNodeThatHasItElseUnknown() {
		Call c = begin(1, 1_000);
		this.fleet.node(1).service().recordAnswer(c.key(), LARGE, this.fleet.now()).subscribe();
		this.fleet.advance(1_000);
		assertAnswer(begin(2, 1_000), LARGE);
		this.fleet.node(1).crash();
		Call late = begin(2, 3_000);
		this.fleet.advance(2_000);
		assertRefused(late, RefusalCode.OUTCOME_UNKNOWN, Outcome.OUTCOME_UNKNOWN);
		assertThat(((IntentDecision.Refused) late.decision()).refusal().detail()).contains("no longer kept");
	}

	@Test
	void surelyNotRunMayBeRunAgain() {
		Call c = begin(1, 1_000);
		Call waits = begin(2, 5_000);
		this.fleet.node(1).service().recordNotRun(c.key(), this.fleet.now()).subscribe();
		this.fleet.advance(1_500);
		assertThat(waits.decision()).isInstanceOf(IntentDecision.Run.class);
		assertThat(begin(0, 300).isTold()).isFalse();
	}

	@Test
	void nodeWithAnotherLayoutRunsNothing() {
		// One entry VM is started with other settings. It would look for keys in other
		// records than the rest, find none, and run them again.
		begin(1, 1_000);
		this.fleet.node(2).crash();
		this.fleet.node(2).restart(LedgerFleet.SETTINGS.limits().withShards(5, 2));
		this.fleet.prefer(2);
		for (int i = 0; i < 10; i++) {
			Call c = this.fleet.node(2).begin("k" + i, 1, 500);
			this.fleet.advance(1_000);
			assertRefused(c, RefusalCode.STORE_UNAVAILABLE, Outcome.NOT_RUN);
		}
		Call again = begin(2, 500);
		this.fleet.advance(1_000);
		assertThat(again.decision()).isInstanceOf(IntentDecision.Refused.class);
	}

	@Test
	void otherBodyIsRefused() {
		begin(1, 1_000);
		Call local = this.fleet.node(1).begin("k", 2, 1_000);
		Call remote = this.fleet.node(2).begin("k", 2, 1_000);
		this.fleet.advance(500);
		assertRefused(local, RefusalCode.KEY_REUSED, Outcome.NOT_RUN);
		assertRefused(remote, RefusalCode.KEY_REUSED, Outcome.NOT_RUN);
	}

	@Test
	void writesDoNotGrowWithTheRate() {
		int few = writesInOneSecond(100, "few ");
		int many = writesInOneSecond(3_000, "many ");
		long bound = LedgerFleet.SETTINGS.limits().shards() * (1_000 / LedgerFleet.SETTINGS.limits().batchIntervalMs() + 1);
		assertThat(few).isLessThanOrEqualTo((int) bound);
		assertThat(many).isLessThanOrEqualTo((int) bound);
	}

	private int writesInOneSecond(int requests, String prefix) {
		int before = this.fleet.store().writes();
		List<Call> calls = new ArrayList<>();
		for (int i = 0; i < requests; i++) {
			calls.add(this.fleet.node(i % 3).begin(prefix + i, 1, 3_000));
			if (i % (requests / 100) == 0) {
				this.fleet.advance(10);
			}
		}
		int written = this.fleet.store().writes() - before;
		this.fleet.advance(1_000);
		assertThat(calls).allMatch((c) -> c.decision() instanceof IntentDecision.Run);
		return written;
	}

	private Call begin(int node, long budgetMs) {
		Call c = this.fleet.node(node).begin("k", 1, budgetMs);
		this.fleet.advance(200);
		return c;
	}

	private static void assertAnswer(Call c, byte[] answer) {
		assertThat(c.decision()).isInstanceOfSatisfying(IntentDecision.Answered.class,
				(a) -> assertThat(a.answer()).isEqualTo(answer));
	}

	private static void assertRefused(Call c, RefusalCode code, Outcome outcome) {
		assertThat(c.decision()).isInstanceOfSatisfying(IntentDecision.Refused.class, (r) -> {
			assertThat(r.refusal().code()).isEqualTo(code);
			assertThat(r.refusal().outcome()).isEqualTo(outcome);
		});
	}

}
