package io.shallotspur.gateway;

import java.util.OptionalDouble;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.GatewayFixture.Call;

/**
 * Tests of plain calls that wait at the VM while all workers are full.
 */
class PlainCallQueueTests {

	private static final int SLOTS = 6;

	private final GatewayFixture f = new GatewayFixture().configured().addPlainWorkers(2);

	private WorkerState worker(String id) {
		return this.f.gateway.roster.find(id).orElseThrow();
	}

	private void report(String id, int waiting, OptionalDouble slowdown) {
		worker(id).recordLoad(new LoadReport(SLOTS, waiting, SLOTS, slowdown), this.f.timer.now());
	}

	private void reportFull(OptionalDouble slowdown) {
		report("p1", 12, slowdown);
		report("p2", 12, slowdown);
	}

	@BeforeEach
	void learn() {
		for (int i = 0; i < 20; i++) {
			worker("p1").recordAnswer(70, this.f.timer.now());
			worker("p2").recordAnswer(70, this.f.timer.now());
		}
	}

	// Guards against calls that wait in a worker's own queue, where none can be
	// overtaken.
	@Test
	void callWaitsUntilAWorkerHasRoom() {
		reportFull(OptionalDouble.of(1));
		Call c = this.f.call("safe");
		this.f.timer.advance(50);
		Assertions.assertThat(this.f.workers.runs).isEmpty();
		worker("p2").recordLoad(new LoadReport(1, 0, SLOTS, OptionalDouble.of(1)), this.f.timer.now());
		this.f.timer.advance(10);
		Assertions.assertThat(this.f.workers.lastRun().call.worker().id()).isEqualTo("p2");
		this.f.workers.lastRun().respond(200, "fine");
		Assertions.assertThat(c.caller().status).isEqualTo(200);
	}

	// Guards against a change for deployments whose workers state and show no unevenness.
	@Test
	void callIsSentAtOnceWhereWorkersAreAlike() {
		reportFull(OptionalDouble.empty());
		this.f.call("safe");
		Assertions.assertThat(this.f.workers.runs).hasSize(1);
	}

	// Guards against a call that breaks off midway, whose outcome is then unknown.
	@Test
	void refusesAsNotRunWhatCannotEndInTime() {
		reportFull(OptionalDouble.of(4));
		Call once = this.f.call("unsafe");
		Assertions.assertThat(once.caller().status).isEqualTo(503);
		Assertions.assertThat(once.caller().refusal.retryAfterMs()).isPositive();
		Assertions.assertThat(this.f.workers.runs).isEmpty();
	}

	// Guards against calls that wait for ever, or are sent after their caller has left.
	@Test
	void waitEndsInTimeOrWithTheCaller() {
		reportFull(OptionalDouble.of(1));
		Call left = this.f.call("safe");
		Call late = this.f.call("safe");
		left.disconnect().run();
		for (int i = 0; i < 80 && late.caller().status == 0; i++) {
			reportFull(OptionalDouble.of(1));
			this.f.timer.advance(10);
		}
		Assertions.assertThat(late.caller().status).isEqualTo(503);
		Assertions.assertThat(this.f.workers.runs).isEmpty();
		Assertions.assertThat(this.f.gateway.inProgress()).isZero();
	}

	// Guards against callers that stop reading and make idle workers look full, so that
	// calls of others wait and are refused.
	@Test
	void requestsWhoseCallersDoNotReadTakeNoSlot() {
		WorkerState w = new WorkerState(
				new WorkerInfo("w", "plain", "10.0.0.1", 80, "hall-a", 2, WorkerStage.PLAIN, false, 0, 1, "v1"), 0);
		for (int i = 0; i < 5; i++) {
			w.requestStarted();
		}
		Assertions.assertThat(w.isBelievedFull(10)).isTrue();
		w.adjustPausedRequests(4);
		Assertions.assertThat(w.isBelievedFull(10)).isFalse();
	}

}
