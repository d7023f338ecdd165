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
		this.f.stateLeaving(
				new WorkerInfo("p9", "plain", "10.0.0.9", 80, "hall-a", 6, WorkerStage.PLAIN, false, 0, 1, "v1"));
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

	// Guards against a worker that refuses a request, asks for a pause, and looks idle to
	// the VM as soon as the refusal is forgotten.
	@Test
	void pausedWorkerGetsNothingUntilThePauseEnds() {
		this.f.addWorker("p2", "plain", WorkerStage.PLAIN);
		this.f.askForPause(this.p1, 3_000);
		for (int i = 0; i < 40; i++) {
			this.f.call("safe");
			Assertions.assertThat(this.f.workers.lastRun().call.worker().id()).isEqualTo("p2");
			this.f.timer.advance(70);
		}
		this.f.timer.advance(200);
		this.f.call("safe");
		Assertions.assertThat(this.f.workers.lastRun().call.worker().id()).isEqualTo("p1");
	}

	@Test
	void shorterPauseDoesNotEndALongerOne() {
		this.f.askForPause(this.p1, 3_000);
		this.f.askForPause(this.p1, 100);
		this.f.timer.advance(2_900);
		Assertions.assertThat(this.f.gateway.roster().pauseRemainingMs(this.p1, this.f.timer.now())).isEqualTo(100);
	}

	// Guards against requests that wait although no worker may be sent them in time.
	@Test
	void requestIsRefusedAtOnceWhileAllWorkersPause() {
		this.f.askForPause(this.p1, 3_000);
		Call c = this.f.call("safe");
		Assertions.assertThat(c.caller().status).isEqualTo(503);
		Assertions.assertThat(c.caller().refusal.reason()).isEqualTo(RefusalReason.WORKERS_LIMITED);
		Assertions.assertThat(c.caller().refusal.retryAfterMs()).isEqualTo(500);
	}

	@Test
	void requestWaitsForAShortPause() {
		this.f.askForPause(this.p1, 100);
		Call c = this.f.call("safe");
		Assertions.assertThat(c.caller().responseCount).isZero();
		this.f.timer.advance(100);
		Assertions.assertThat(this.f.workers.runs).hasSize(1);
	}

	// Guards against a waiting request that goes to its worker although that has asked
	// for a pause meanwhile.
	@Test
	void waitingRequestGoesElsewhereWhenItsWorkerAsksForAPause() {
		this.f.askForPause(this.p1, 100);
		this.f.call("safe");
		this.f.addWorker("p2", "plain", WorkerStage.PLAIN);
		this.f.askForPause(this.p1, 3_000);
		this.f.timer.advance(100);
		Assertions.assertThat(this.f.workers.lastRun().call.worker().id()).isEqualTo("p2");
	}

	// Guards against callers that are told to return while their only worker still
	// pauses.
	@Test
	void refusedCallerIsToldToReturnAfterThePause() {
		Call c = this.f.call("safe");
		this.f.askForPause(this.p1, 200);
		this.f.workers.lastRun().rejectNotRun();
		Assertions.assertThat(c.caller().refusal.retryAfterMs()).isEqualTo(450);
	}

	// Guards against a second attempt at a pausing worker, which would replace the error
	// of the first worker by an unknown outcome.
	@Test
	void retryDoesNotUseAPausedWorker() {
		WorkerInfo p2 = this.f.addWorker("p2", "plain", WorkerStage.PLAIN);
		Call c = this.f.call("safe");
		WorkerInfo first = this.f.workers.lastRun().call.worker();
		this.f.askForPause(first.equals(p2) ? this.p1 : p2, 3_000);
		this.f.workers.lastRun().respond(500, "bad");
		Assertions.assertThat(this.f.workers.runs).hasSize(1);
		Assertions.assertThat(c.caller().body).isEqualTo("bad");
	}

	// Guards against refusals while a worker is free that is only left out for its
	// failures.
	@Test
	void unreachableWorkerIsTriedWhileTheOthersPause() {
		this.f.call("unsafe");
		this.f.workers.lastRun().refuseConnection();
		this.f.askForPause(this.f.addWorker("p2", "plain", WorkerStage.PLAIN), 3_000);
		this.f.call("safe");
		Assertions.assertThat(this.f.workers.lastRun().call.worker().id()).isEqualTo("p1");
	}

	@Test
	void pauseOutlivesTheEntryAndEndsWithARestart() {
		this.f.askForPause(this.p1, 60_000);
		this.f.gateway.roster().entryRemoved("p1", this.f.timer.now());
		this.f.call("safe");
		this.f.timer.advance(2_000);
		this.f.gateway.roster().updateEntry(this.p1, this.f.timer.now());
		this.f.call("safe");
		Assertions.assertThat(this.f.workers.runs).isEmpty();
		this.f.restart(this.p1);
		this.f.call("safe");
		Assertions.assertThat(this.f.workers.runs).hasSize(1);
	}

	// Guards against a call that is refused, or told to come back much later, since a
	// worker with an exhausted limit hides one whose pause is about to end.
	@Test
	void requestWaitsForTheWorkerThatMayBeUsedFirst() {
		WorkerInfo p2 = this.f.addWorker("p2", "plain", WorkerStage.PLAIN);
		this.f.gateway.updateWorkerStatus(this.f.gateway.roster().instance(p2).orElseThrow(),
				new WorkerStatus(null, new WorkerRateLimit(0)), this.f.timer.now());
		this.f.askForPause(this.p1, 100);
		Call c = this.f.call("safe");
		Assertions.assertThat(c.caller().responseCount).isZero();
		this.f.timer.advance(100);
		Assertions.assertThat(this.f.workers.lastRun().call.worker().id()).isEqualTo("p1");
	}

	// Guards against calls that are held until their wait ends although their only worker
	// has made it known that it will not take them by then.
	@Test
	void waitingRequestIsRefusedAtOnceWhenItsOnlyWorkerAsksForALongerPause() {
		this.f.askForPause(this.p1, 300);
		Call c = this.f.call("safe");
		this.f.askForPause(this.p1, 3_000);
		Assertions.assertThat(c.caller().refusal.reason()).isEqualTo(RefusalReason.WORKERS_LIMITED);
	}

	@Test
	void waitingRequestIsRefusedAtOnceWhenItsOnlyWorkerLeaves() {
		this.f.askForPause(this.p1, 300);
		Call c = this.f.call("safe");
		this.f.stateLeaving(this.p1);
		Assertions.assertThat(c.caller().refusal.reason()).isEqualTo(RefusalReason.NO_WORKER);
		this.f.timer.advance(1_000);
		Assertions.assertThat(c.caller().responseCount).isEqualTo(1);
	}

	@Test
	void queuedRequestIsRefusedOnceAllDecodeWorkersLeave() {
		WorkerInfo d1 = this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		Call queued = this.f.callWithPrompt("once", 200);
		this.f.workers.reservations.get(0).listener().onNoCapacity();
		this.f.stateLeaving(d1);
		Assertions.assertThat(queued.caller().refusal.reason()).isEqualTo(RefusalReason.NO_WORKER);
	}

	// Guards against a statement that outlives its worker: a process does not change its
	// address, so an entry with another one describes a new start, also if it does not
	// report when it started.
	@Test
	void entryWithAnotherAddressDescribesANewInstance() {
		WorkerInfo first = new WorkerInfo("p7", "other", "10.0.0.7", 80, "hall-a", 6, WorkerStage.PLAIN, false, 0, 0,
				"v1");
		WorkerInfo second = new WorkerInfo("p7", "other", "10.0.0.8", 80, "hall-a", 6, WorkerStage.PLAIN, false, 0, 0,
				"v1");
		WorkerDirectory roster = this.f.gateway.roster();
		roster.updateEntry(first, this.f.timer.now());
		this.f.stateLeaving(first);
		roster.entryRemoved("p7", this.f.timer.now());
		roster.updateEntry(second, this.f.timer.now());
		this.f.stateLeaving(first);
		Assertions.assertThat(roster.activeWorkers("other", this.f.timer.now())).containsExactly(second);
	}

	// Guards against prompts that wait in the queue until their deadlines while every
	// decode worker has asked for a longer pause.
	@Test
	void queuedRequestIsRefusedOnceAllDecodeWorkersPause() {
		WorkerInfo d1 = this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		Call queued = this.f.callWithPrompt("once", 200);
		this.f.workers.reservations.get(0).listener().onNoCapacity();
		Assertions.assertThat(queued.caller().responseCount).isZero();
		this.f.askForPause(d1, 3_000);
		Assertions.assertThat(queued.caller().status).isEqualTo(503);
	}

	@Test
	void refusedReservationWithAPauseRefusesTheRequestAtOnce() {
		WorkerInfo d1 = this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		Call c = this.f.callWithPrompt("once", 200);
		this.f.askForPause(d1, 3_000);
		this.f.workers.reservations.get(0).listener().onNoCapacity();
		Assertions.assertThat(c.caller().status).isEqualTo(503);
		this.f.timer.advance(2_900);
		Assertions.assertThat(this.f.workers.reservations).hasSize(1);
	}

	// Guards against a request that uses a reserved place at a worker that has asked for
	// a pause since, and against a call that only gives the place back.
	@Test
	void reservationAtAPausedWorkerIsLeftToExpire() {
		WorkerInfo d1 = this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		this.f.callWithPrompt("once", 3_000);
		this.f.workers.reservations.get(0).listener().onReserved("h1");
		this.f.askForPause(d1, 3_000);
		this.f.workers.prefills.get(0).listener.onReady("k1");
		Assertions.assertThat(this.f.workers.runs).isEmpty();
		Assertions.assertThat(this.f.workers.cancelledReservations).isEmpty();
		Assertions.assertThat(this.f.workers.releasedHandles).containsExactly("k1");
	}

	// Guards against a decode worker that is selected, without a reservation, before the
	// prompt is prefilled elsewhere, and asks for a pause or leaves meanwhile.
	@Test
	void workerSelectedBeforeAPrefillIsCheckedAgainAfterIt() {
		this.f.gateway.configure(GatewayFixture.tableWithoutReservations(2));
		WorkerInfo d1 = this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		WorkerInfo d2 = this.f.addWorker("d2", "llm", WorkerStage.DECODE);
		this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		this.f.stateLeaving(d2);
		this.f.callWithPrompt("once", 3_000);
		this.f.askForPause(d1, 3_000);
		this.f.workers.prefills.get(0).listener.onReady("k1");
		Assertions.assertThat(this.f.workers.runs).isEmpty();
	}

	@Test
	void pausedPrefillWorkerIsSkipped() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		WorkerInfo f1 = this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		this.f.askForPause(f1, 3_000);
		this.f.callWithPrompt("once", 3_000);
		this.f.workers.reservations.get(0).listener().onReserved("h1");
		Assertions.assertThat(this.f.workers.prefills).isEmpty();
		Assertions.assertThat(this.f.workers.runs).hasSize(1);
	}

}
