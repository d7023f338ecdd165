package io.shallotspur.gateway;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.GatewayFixture.Call;

/**
 * Tests of what workers state about whether they may be sent anything further.
 */
class WorkerNoticeTests {

	private final GatewayFixture f = new GatewayFixture().configured();

	private final WorkerInfo p1 = this.f.addWorker("p1", "plain", WorkerStage.PLAIN);

	// Guards against an entry of an unavailable or restored store that shows a leaving
	// worker as ready and counts as newer than the worker's own statement.
	@Test
	void entryThatShowsALeavingWorkerAsReadyDoesNotBringItBack() {
		this.f.stateLeaving(this.p1);
		this.f.gateway.roster().updateEntry(this.p1, this.f.timer.now());
		Call c = this.f.call("safe");
		Assertions.assertThat(c.caller().refusal.reason()).isEqualTo(RefusalReason.NO_WORKER);
		Assertions.assertThat(this.f.workers.runs).isEmpty();
	}

	// Guards against a statement that is forgotten with the worker's entry, which expires
	// while the store is unavailable and comes back after it.
	@Test
	void statementOutlivesTheEntry() {
		this.f.stateLeaving(this.p1);
		this.f.gateway.roster().entryRemoved("p1", this.f.timer.now());
		this.f.call("safe");
		this.f.timer.advance(5_000);
		this.f.gateway.roster().updateEntry(this.p1, this.f.timer.now());
		this.f.call("safe");
		Assertions.assertThat(this.f.workers.runs).isEmpty();
	}

	@Test
	void restartEndsTheStatement() {
		this.f.stateLeaving(this.p1);
		this.f.restart(this.p1);
		this.f.call("safe");
		Assertions.assertThat(this.f.workers.runs).hasSize(1);
	}

	// Guards against a response of the earlier instance that arrives after the restart
	// and takes the new instance out of use.
	@Test
	void statementOfAnEarlierInstanceIsIgnored() {
		this.f.restart(this.p1);
		this.f.stateLeaving(this.p1);
		this.f.call("safe");
		Assertions.assertThat(this.f.workers.runs).hasSize(1);
	}

	@Test
	void statementOfAnUnknownWorkerIsIgnored() {
		this.f.stateLeaving(new WorkerInfo("p9", "plain", "10.0.0.9", 80, "hall-a", 6, WorkerStage.PLAIN, false, 0, 1));
		this.f.call("safe");
		Assertions.assertThat(this.f.workers.runs).hasSize(1);
	}

	// Guards against requests that wait for the rate limit of a worker and are sent to it
	// after it has stated that it is leaving.
	@Test
	void requestThatWaitsForALimitIsNotSentToALeavingWorker() {
		this.f.call("safe");
		this.f.workers.lastRun().respondWithLimit(new WorkerRateLimit(4));
		Call waiting = this.f.call("safe");
		this.f.stateLeaving(this.p1);
		this.f.timer.advance(500);
		Assertions.assertThat(waiting.caller().status).isEqualTo(503);
		Assertions.assertThat(this.f.workers.runs).hasSize(1);
	}

	@Test
	void streamIsResumedAtAWorkerThatIsNotLeaving() {
		WorkerInfo d1 = this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		WorkerInfo d2 = this.f.addWorker("d2", "llm", WorkerStage.DECODE);
		this.f.callWithPrompt("resume", 200);
		WorkerInfo first = this.f.workers.reservations.get(0).worker();
		this.f.workers.reservations.get(0).listener().onReserved("h1");
		this.f.workers.lastRun().respondHead(200);
		this.f.workers.lastRun().sendEvents(GatewayFixture.EVENTS);
		this.f.stateLeaving(first.equals(d1) ? d2 : d1);
		this.f.workers.lastRun().resetConnection();
		Assertions.assertThat(this.f.workers.reservations).hasSize(1);
	}

	// Guards against the leader that counts a leaving worker and gives it orders.
	@Test
	void leavingWorkerIsNotActive() {
		this.f.stateLeaving(this.p1);
		Assertions.assertThat(this.f.gateway.roster().activeWorkers("plain", this.f.timer.now())).isEmpty();
	}

	@Test
	void leavingIsCountedOncePerWorker() {
		this.f.stateLeaving(this.p1);
		this.f.stateLeaving(this.p1);
		Assertions.assertThat(this.f.metrics.counter("relay.leaving-stated").getCount()).isEqualTo(1);
	}

}
