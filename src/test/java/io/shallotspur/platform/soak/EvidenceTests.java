package io.shallotspur.platform.soak;

import java.util.List;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of what the soak judges: each broken promise is found, and nothing else.
 */
class EvidenceTests {

	private final SoakKeys keys = new SoakKeys();

	private final Evidence evidence = new Evidence(this.keys);

	private List<String> broken() {
		return this.evidence.broken().stream().map((b) -> b.substring(0, b.indexOf(' '))).toList();
	}

	@Test
	void findsNothingInAGoodRun() {
		this.evidence.sent("a", Evidence.Kind.UNSAFE);
		this.evidence.run("a", "w1");
		this.evidence.answered("a", 200, SoakWorker.plain("a", "w1"));
		this.evidence.sent("b", Evidence.Kind.ONCE);
		this.evidence.run("b", "w2");
		this.evidence.answered("b", 200, SoakWorker.stream("b", 0));
		this.evidence.sent("c", Evidence.Kind.UNSAFE);
		this.evidence.answered("c", 503, "workers-full");
		this.evidence.sent("d", Evidence.Kind.SAFE);
		this.evidence.run("d", "w1");
		this.evidence.run("d", "w2");
		this.evidence.answered("d", 502, "worker-lost");
		Assertions.assertThat(broken()).isEmpty();
	}

	@Test
	void findsARequestAtAWorkerThatHasLeft() {
		this.evidence.reached("a", "w1", Long.MAX_VALUE, 10_000);
		this.evidence.reached("b", "w1", 10_000, 12_000);
		Assertions.assertThat(broken()).isEmpty();
		this.evidence.reached("c", "w1", 10_000, 12_001);
		Assertions.assertThat(broken()).containsExactly("DRAIN");
	}

	@Test
	void asksNoTimelyNewsOfVmsThatWereDisturbed() {
		this.evidence.disturbanceBegins();
		this.evidence.reached("a", "w1", 10_000, 12_001);
		this.evidence.disturbanceEnds(8_000);
		this.evidence.reached("b", "w1", 10_000, 12_001);
		Assertions.assertThat(broken()).isEmpty();
		this.evidence.reached("c", "w1", 11_001, 13_002);
		Assertions.assertThat(broken()).containsExactly("DRAIN");
	}

	@Test
	void findsASecondRun() {
		this.evidence.sent("a", Evidence.Kind.ONCE);
		this.evidence.run("a", "w1");
		this.evidence.run("a", "w2");
		Assertions.assertThat(broken()).containsExactly("TWICE");
	}

	// The run can come long after the refusal.
	@Test
	void findsARunOfWhatWasRefused() {
		this.evidence.sent("a", Evidence.Kind.UNSAFE);
		this.evidence.answered("a", 503, "workers-full");
		this.evidence.run("a", "w1");
		Assertions.assertThat(broken()).containsExactly("REFUSED");
	}

	@Test
	void findsAnswersThatAreNotTheWorkers() {
		this.evidence.sent("a", Evidence.Kind.UNSAFE);
		this.evidence.run("a", "w1");
		this.evidence.answered("a", 200, SoakWorker.plain("b", "w1"));
		this.evidence.sent("c", Evidence.Kind.UNSAFE);
		this.evidence.answered("c", 200, SoakWorker.plain("c", "w1"));
		Assertions.assertThat(broken()).containsExactly("MIXED", "MIXED");
	}

	@Test
	void findsStreamsWithGapsDoublesAndEarlyEnds() {
		for (String id : List.of("a", "b", "c")) {
			this.evidence.sent(id, Evidence.Kind.RESUMABLE);
			this.evidence.run(id, "w1");
		}
		this.evidence.answered("a", 200, SoakWorker.stream("a", 1));
		this.evidence.answered("b", 200, SoakWorker.stream("b", 0) + "id: 12\ndata: b 12\n\n");
		this.evidence.answered("c", 200, "id: 1\ndata: c 1\n\n");
		Assertions.assertThat(broken()).containsExactly("ORDER", "ORDER", "ORDER");
	}

	@Test
	void findsRunsThatNobodyAskedFor() {
		this.evidence.run("x", "w1");
		Assertions.assertThat(broken()).containsExactly("UNASKED");
	}

	@Test
	void findsAnOrderOfAFormerHolder() {
		this.evidence.ordered("w1", 9);
		this.evidence.ordered("w2", 8);
		this.evidence.ordered("w1", 8);
		Assertions.assertThat(broken()).containsExactly("ONE");
	}

	@Test
	void findsRunsWithAKeyThatWasRevokedTooLongAgo() {
		this.keys.issue();
		this.keys.issue();
		this.keys.published(1_000);
		this.evidence.sent("a", Evidence.Kind.SAFE, "passing-0", 6_000);
		this.evidence.ranFor("a", "customer-0", null);
		this.evidence.sent("b", Evidence.Kind.SAFE, "passing-1", 9_000);
		this.evidence.ranFor("b", "customer-0", null);
		Assertions.assertThat(broken()).isEmpty();
		this.evidence.sent("c", Evidence.Kind.SAFE, "passing-0", 6_001);
		this.evidence.ranFor("c", "customer-0", null);
		Assertions.assertThat(broken()).containsExactly("CONFIG");
	}

	@Test
	void findsRunsForAnotherCustomerAndKeysThatWerePassedOn() {
		this.evidence.sent("a", Evidence.Kind.SAFE, "lasting-1", 0);
		this.evidence.ranFor("a", "customer-1", null);
		Assertions.assertThat(broken()).isEmpty();
		this.evidence.ranFor("a", "customer-2", null);
		this.evidence.ranFor("a", "customer-1", "Bearer lasting-1");
		this.evidence.ranFor("a", null, null);
		Assertions.assertThat(broken()).containsExactly("UNASKED", "UNASKED", "UNASKED");
	}

	@Test
	void findsRequestsBeyondTheLimitThatAWorkerNamed() {
		this.evidence.limited("w1", 1, 0);
		reachEach(100, 0, 3_000);
		reachEach(400, 3_000, 12_000);
		Assertions.assertThat(broken()).isEmpty();
		reachEach(300, 12_000, 16_000);
		Assertions.assertThat(broken()).containsOnly("LIMIT");
	}

	@Test
	void aLimitThatHasEndedOrAVmThatIsStruckBreaksNothing() {
		this.evidence.limited("w1", 1, 0);
		this.evidence.sentTo("a", "vm-1");
		this.evidence.struck("vm-1", 2_500);
		reachEach(100, 2_500, 5_500);
		this.evidence.struck("vm-1", 5_500);
		reachEach(100, 5_500, 8_400);
		this.evidence.limited("w1", Double.POSITIVE_INFINITY, 8_400);
		reachEach(100, 8_400, 20_000);
		Assertions.assertThat(broken()).isEmpty();
	}

	private void reachEach(long everyMs, long fromMs, long untilMs) {
		for (long now = fromMs; now < untilMs; now += everyMs) {
			this.evidence.reached("a", "w1", Long.MAX_VALUE, now);
		}
	}

	// The same seed must give the same faults, or a failure could not be played again.
	@Test
	void plansTheSameFaultsForASeed() {
		Assertions.assertThat(FaultPlan.of(7, 12_000, 4, 9)).isEqualTo(FaultPlan.of(7, 12_000, 4, 9));
		Assertions.assertThat(FaultPlan.of(8, 12_000, 4, 9)).isNotEqualTo(FaultPlan.of(7, 12_000, 4, 9));
	}

}
