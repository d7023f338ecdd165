package io.shallotspur.gateway;

import java.util.List;
import java.util.Set;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of stage changes and restarts of workers in {@link WorkerDirectory}.
 */
class WorkerDirectoryTests {

	private static final long NOW = 1_000;

	private final WorkerDirectory directory = new WorkerDirectory();

	private static WorkerInfo worker(WorkerStage stage) {
		return new WorkerInfo("w1", "llm", "10.0.0.1", 80, "hall-a", 8, stage, false, 0, 0, "v1");
	}

	private List<WorkerState> candidates(WorkerStage stage) {
		return this.directory.candidates("llm", Set.of(stage), (w) -> true, NOW);
	}

	// A worker that changes its stage refuses requests. A refused prefill is the only
	// attempt that some routes have, so their callers would be refused.
	@Test
	void excludesWorkerOnceStageChangeIsAnnounced() {
		this.directory.updateEntry(worker(WorkerStage.PREFILL), NOW);
		this.directory.stageChangeAnnounced("w1", WorkerStage.DECODE);
		Assertions.assertThat(candidates(WorkerStage.PREFILL)).isEmpty();
		Assertions.assertThat(candidates(WorkerStage.DECODE)).isEmpty();
		this.directory.updateEntry(worker(WorkerStage.DECODE), NOW);
		Assertions.assertThat(candidates(WorkerStage.DECODE)).hasSize(1);
	}

	@Test
	void includesWorkerWhenStageChangeIsWithdrawn() {
		this.directory.updateEntry(worker(WorkerStage.PREFILL), NOW);
		this.directory.stageChangeAnnounced("w1", WorkerStage.DECODE);
		this.directory.stageChangeWithdrawn("w1");
		Assertions.assertThat(candidates(WorkerStage.PREFILL)).hasSize(1);
	}

	// The change was withdrawn while this VM was partitioned; only a listing shows it.
	@Test
	void dropsStageChangesMissingFromListing() {
		this.directory.updateEntry(worker(WorkerStage.PREFILL), NOW);
		this.directory.stageChangeAnnounced("w1", WorkerStage.DECODE);
		this.directory.retainStageChanges(Set.of());
		Assertions.assertThat(candidates(WorkerStage.PREFILL)).hasSize(1);
	}

	// If the worker were still reported under its old stage, the VM that assigns the
	// stages would see one prefill worker too many until the change is in force, and
	// would change another one.
	@Test
	void reportsWorkerUnderAnnouncedStage() {
		this.directory.updateEntry(worker(WorkerStage.PREFILL), NOW);
		this.directory.stageChangeAnnounced("w1", WorkerStage.DECODE);
		Assertions.assertThat(this.directory.activeWorkers("llm", NOW)).containsExactly(worker(WorkerStage.DECODE));
	}

	// A prefill was in transit while the worker changed its stage, and the worker rejects
	// it like a call that is addressed to another instance. If this counted as a
	// replacement, the worker would be excluded until its entry changes, which can take
	// the rest of its lifetime.
	@Test
	void keepsWorkerThatChangedStage() {
		this.directory.updateEntry(worker(WorkerStage.DECODE), NOW);
		this.directory.instanceReplaced("w1", WorkerStage.PREFILL, NOW);
		Assertions.assertThat(candidates(WorkerStage.DECODE)).hasSize(1);
		this.directory.instanceReplaced("w1", WorkerStage.DECODE, NOW);
		Assertions.assertThat(candidates(WorkerStage.DECODE)).isEmpty();
	}

	// A worker crashed and restarted under its id. Its slots are free, its failures are
	// those of the earlier instance, and its connections are dead.
	@Test
	void resetsStateWhenWorkerRestarts() {
		this.directory.updateEntry(workerStartedAt(100), NOW);
		WorkerState before = candidates(WorkerStage.DECODE).get(0);
		before.requestStarted();
		before.recordOutcome(true);
		this.directory.updateEntry(workerStartedAt(200), NOW);
		WorkerState after = candidates(WorkerStage.DECODE).get(0);
		Assertions.assertThat(after.estimatedLoad(NOW)).isZero();
		Assertions.assertThat(after.failureRate()).isZero();
		Assertions.assertThat(this.directory.isCurrentInstance(before.info())).isFalse();
		Assertions.assertThat(this.directory.isCurrentInstance(after.info())).isTrue();
	}

	// An entry of the earlier instance is delayed or comes from a stale read. Taken for a
	// restart, it would end the requests that run at the worker.
	@Test
	void ignoresEntryOfEarlierInstance() {
		this.directory.updateEntry(workerStartedAt(200), NOW);
		WorkerState s = candidates(WorkerStage.DECODE).get(0);
		this.directory.updateEntry(workerStartedAt(100).withStage(WorkerStage.PREFILL), NOW);
		Assertions.assertThat(candidates(WorkerStage.DECODE)).containsExactly(s);
		Assertions.assertThat(s.info().startedAt()).isEqualTo(200);
	}

	// Responses last for seconds and a report comes with the first bytes of each. If it
	// decayed within a second, a worker full of other VMs' requests would look idle, and
	// one worker would have six requests where another has two.
	@Test
	void scalesReportHalfLifeWithRequestDuration() {
		this.directory.updateEntry(workerStartedAt(100), NOW);
		WorkerState w = candidates(WorkerStage.DECODE).get(0);
		w.recordLoad(new LoadReport(6, 0, 8), NOW);
		Assertions.assertThat(w.estimatedLoad(NOW + 1_500)).isLessThan(0.5);
		w.recordDuration(4_000);
		Assertions.assertThat(w.estimatedLoad(NOW + 1_500)).isGreaterThan(3);
		Assertions.assertThat(w.estimatedLoad(NOW + 20_000)).isLessThan(0.5);
	}

	private static WorkerInfo workerStartedAt(long at) {
		return new WorkerInfo("w1", "llm", "10.0.0.1", 80, "hall-a", 8, WorkerStage.DECODE, false, 0, at, "v1");
	}

}
