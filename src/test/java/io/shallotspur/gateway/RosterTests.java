package io.shallotspur.gateway;

import java.util.List;
import java.util.Set;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of workers that change over in {@link Roster}.
 */
class RosterTests {

	private static final long NOW = 1_000;

	private final Roster roster = new Roster();

	private static WorkerInfo worker(WorkerStage stage) {
		return new WorkerInfo("w1", "llm", "10.0.0.1", 80, "hall-a", 8, stage, false, 0, 0);
	}

	private List<WorkerState> candidates(WorkerStage stage) {
		return this.roster.candidates("llm", Set.of(stage), Set.of(), NOW);
	}

	// A worker that changes over refuses what it is sent. A refused prefill is the only
	// attempt that some routes have, so their callers would be turned away.
	@Test
	void leavesAWorkerAloneFromTheAnnouncementOn() {
		this.roster.seen(worker(WorkerStage.PREFILL), NOW);
		this.roster.marked("w1", WorkerStage.DECODE);
		Assertions.assertThat(candidates(WorkerStage.PREFILL)).isEmpty();
		Assertions.assertThat(candidates(WorkerStage.DECODE)).isEmpty();
		this.roster.seen(worker(WorkerStage.DECODE), NOW);
		Assertions.assertThat(candidates(WorkerStage.DECODE)).hasSize(1);
	}

	@Test
	void usesAWorkerAgainWhoseAnnouncementIsWithdrawn() {
		this.roster.seen(worker(WorkerStage.PREFILL), NOW);
		this.roster.marked("w1", WorkerStage.DECODE);
		this.roster.unmarked("w1");
		Assertions.assertThat(candidates(WorkerStage.PREFILL)).hasSize(1);
	}

	// The withdrawal came while this VM was cut off; only a listing shows it.
	@Test
	void forgetsAnnouncementsThatAListingLacks() {
		this.roster.seen(worker(WorkerStage.PREFILL), NOW);
		this.roster.marked("w1", WorkerStage.DECODE);
		this.roster.retainMarks(Set.of());
		Assertions.assertThat(candidates(WorkerStage.PREFILL)).hasSize(1);
	}

	// Without this the VM that shares the workers out would see one prefill worker too
	// many until the change is in force, and would have another one change over.
	@Test
	void countsAWorkerAsWhatItIsGoingToBe() {
		this.roster.seen(worker(WorkerStage.PREFILL), NOW);
		this.roster.marked("w1", WorkerStage.DECODE);
		Assertions.assertThat(this.roster.staying("llm", NOW)).containsExactly(worker(WorkerStage.DECODE));
	}

	// A prefill was on its way while the worker changed over; the worker says that it is
	// not the one that was meant. Taken for another incarnation, it would be left out
	// until its entry changes, which can take the rest of its life.
	@Test
	void keepsAWorkerThatHasChangedOver() {
		this.roster.seen(worker(WorkerStage.DECODE), NOW);
		this.roster.replaced("w1", WorkerStage.PREFILL, NOW);
		Assertions.assertThat(candidates(WorkerStage.DECODE)).hasSize(1);
		this.roster.replaced("w1", WorkerStage.DECODE, NOW);
		Assertions.assertThat(candidates(WorkerStage.DECODE)).isEmpty();
	}

	// A worker crashed and started again under its id. Its slots are free, its failures
	// are those of the life before, and its connections lead nowhere.
	@Test
	void beginsAnewWithAWorkerThatHasStartedAgain() {
		this.roster.seen(started(100), NOW);
		WorkerState before = candidates(WorkerStage.DECODE).get(0);
		before.started();
		before.outcome(true);
		this.roster.seen(started(200), NOW);
		WorkerState after = candidates(WorkerStage.DECODE).get(0);
		Assertions.assertThat(after.load(NOW)).isZero();
		Assertions.assertThat(after.failureRate()).isZero();
		Assertions.assertThat(this.roster.lives(before.info())).isFalse();
		Assertions.assertThat(this.roster.lives(after.info())).isTrue();
	}

	// An entry of the former life comes late, or from a stale read. Taken for a restart,
	// it would end what runs at the worker.
	@Test
	void anOlderEntryChangesNothing() {
		this.roster.seen(started(200), NOW);
		WorkerState s = candidates(WorkerStage.DECODE).get(0);
		this.roster.seen(started(100).withStage(WorkerStage.PREFILL), NOW);
		Assertions.assertThat(candidates(WorkerStage.DECODE)).containsExactly(s);
		Assertions.assertThat(s.info().startedAt()).isEqualTo(200);
	}

	// Answers last for seconds and a report comes beside the first bytes of each.
	// Forgotten within a second, a worker full of other VMs' answers would look idle, and
	// one worker would have six answers where another has two.
	@Test
	void remembersAReportForHalfTheTimeThatRequestsLast() {
		this.roster.seen(started(100), NOW);
		WorkerState w = candidates(WorkerStage.DECODE).get(0);
		w.reported(new LoadReport(6, 0, 8), NOW);
		Assertions.assertThat(w.load(NOW + 1_500)).isLessThan(0.5);
		w.lasted(4_000);
		Assertions.assertThat(w.load(NOW + 1_500)).isGreaterThan(3);
		Assertions.assertThat(w.load(NOW + 20_000)).isLessThan(0.5);
	}

	private static WorkerInfo started(long at) {
		return new WorkerInfo("w1", "llm", "10.0.0.1", 80, "hall-a", 8, WorkerStage.DECODE, false, 0, at);
	}

}
