package io.shallotspur.gateway;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.GatewayFixture.Call;

/**
 * Tests of waiting for a place at a decode worker, under the load it answers: more long
 * answers than the decode workers' memory bears.
 */
class ReservationQueueTests {

	private final GatewayFixture fixture = new GatewayFixture().configured();

	private FakeWorkers.Reservation reservationCall(int i) {
		return this.fixture.workers.reservations.get(i);
	}

	private Call waitUntilRefused() {
		Call c = this.fixture.callWithPrompt("once", 100);
		for (int i = 0; i < 100 && c.caller().responseCount == 0; i++) {
			int n = this.fixture.workers.reservations.size();
			reservationCall(n - 1).listener().onNoCapacity();
			while (this.fixture.workers.reservations.size() == n && c.caller().responseCount == 0) {
				this.fixture.timer.advance(50);
			}
		}
		return c;
	}

	@Test
	void triesNextWorkerWhenOneIsFull() {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		this.fixture.addWorker("d2", "llm", WorkerStage.DECODE);
		this.fixture.callWithPrompt("once", 100);
		reservationCall(0).listener().onNoCapacity();
		Assertions.assertThat(reservationCall(1).worker().id()).isNotEqualTo(reservationCall(0).worker().id());
	}

	// All places are taken for a moment. A refusal would cost the caller its one return;
	// the place that this VM's own request frees is taken at once instead.
	@Test
	void claimsSlotFreedByOwnRequest() {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		this.fixture.callWithPrompt("once", 100);
		reservationCall(0).listener().onReserved("h1");
		Call second = this.fixture.callWithPrompt("once", 100);
		reservationCall(1).listener().onNoCapacity();
		Assertions.assertThat(this.fixture.workers.reservations).hasSize(2);
		this.fixture.workers.lastRun().respondHead(200);
		this.fixture.workers.lastRun().sendEvents(GatewayFixture.EVENTS);
		this.fixture.workers.lastRun().listener.onEnd();
		Assertions.assertThat(this.fixture.workers.reservations).hasSize(3);
		reservationCall(2).listener().onReserved("h2");
		Assertions.assertThat(this.fixture.workers.runs).hasSize(2);
		Assertions.assertThat(second.caller().responseCount).isZero();
	}

	// Many VMs before few workers: each must leave a full worker alone for a while, lest
	// all of them spend their time asking.
	@Test
	void backsOffFromFullWorker() {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		this.fixture.callWithPrompt("once", 100);
		reservationCall(0).listener().onNoCapacity();
		this.fixture.timer.advance(100);
		Assertions.assertThat(this.fixture.workers.reservations).hasSize(1);
		this.fixture.timer.advance(200);
		Assertions.assertThat(this.fixture.workers.reservations).hasSize(2);
	}

	// A burst on a large fleet: every VM has a request that waits, and all workers are
	// full. If each VM went through all workers again and again, tens of thousands of
	// refusals a second would use up the processors of both.
	@Test
	void boundsRequestRateWhenAllWorkersAreFull() {
		for (int i = 0; i < 40; i++) {
			this.fixture.addWorker("d" + i, "llm", WorkerStage.DECODE);
		}
		this.fixture.callWithPrompt("once", 100);
		int answered = 0;
		for (int ms = 0; ms < 1_000; ms++) {
			while (answered < this.fixture.workers.reservations.size()) {
				reservationCall(answered++).listener().onNoCapacity();
			}
			this.fixture.timer.advance(1);
		}
		Assertions.assertThat(answered).isBetween(20, 60);
	}

	// Prefills take a quarter of the time to the first event. If a place were thought to
	// lead to an answer at once, requests that wait would be given one when it is just
	// too late for them, and all answers of a burst would be late by a little.
	@Test
	void includesPrefillInTimeToFirstEvent() {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		this.fixture.addWorker("f1", "llm", WorkerStage.PREFILL);
		for (int i = 0; i < 100; i++) {
			this.fixture.callWithPrompt("once", 3_000);
			reservationCall(i).listener().onReserved("h" + i);
			this.fixture.timer.advance(250);
			this.fixture.workers.prefills.get(i).listener.onReady("kv" + i);
			this.fixture.timer.advance(30);
			this.fixture.workers.lastRun().respondHead(200);
			this.fixture.workers.lastRun().sendEvents(GatewayFixture.EVENTS);
			this.fixture.workers.lastRun().listener.onEnd();
		}
		Assertions.assertThat(this.fixture.gateway.engineTimes("llm").timeToFirstEventMs()).isBetween(270L, 320L);
	}

	// A place that becomes free is asked for at once all the same.
	@Test
	void retriesImmediatelyWhereOwnRequestEnded() {
		for (int i = 0; i < 12; i++) {
			this.fixture.addWorker("d" + i, "llm", WorkerStage.DECODE);
		}
		this.fixture.callWithPrompt("once", 100);
		reservationCall(0).listener().onReserved("h1");
		this.fixture.callWithPrompt("once", 100);
		for (int i = 1; i < this.fixture.workers.reservations.size(); i++) {
			reservationCall(i).listener().onNoCapacity();
		}
		int n = this.fixture.workers.reservations.size();
		this.fixture.workers.lastRun().respondHead(200);
		this.fixture.workers.lastRun().sendEvents(GatewayFixture.EVENTS);
		this.fixture.workers.lastRun().listener.onEnd();
		Assertions.assertThat(this.fixture.workers.reservations.size()).isEqualTo(n + 1);
	}

	@Test
	void refusesAsNotRunBeforeCallerTimesOut() {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		Call c = waitUntilRefused();
		Assertions.assertThat(c.caller().status).isEqualTo(503);
		Assertions.assertThat(c.caller().refusal.retryAfterMs()).isPositive();
		Assertions.assertThat(this.fixture.workers.runs).isEmpty();
	}

	// A burst has left callers waiting whose answers will be late in any case. A new one
	// that can still be answered in time goes first, else all of them are late.
	@Test
	void servesTimelyRequestsBeforeLateOnes() {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		this.fixture.callWithPrompt("once", 1_111);
		reservationCall(0).listener().onNoCapacity();
		this.fixture.timer.advance(240);
		reservationCall(1).listener().onNoCapacity();
		while (this.fixture.workers.reservations.size() < 6) {
			int n = this.fixture.workers.reservations.size();
			this.fixture.timer.advance(250);
			if (this.fixture.workers.reservations.size() > n) {
				reservationCall(n).listener().onNoCapacity();
			}
		}
		this.fixture.callWithPrompt("once", 2_222);
		int n = this.fixture.workers.reservations.size();
		this.fixture.timer.advance(250);
		Assertions.assertThat(reservationCall(n).tokens()).isGreaterThan(2_222);
	}

	// A caller who was refused comes back with less time left. Its objective counts from
	// its first try; taken for new, it would pass those who can still be in time.
	@Test
	void measuresRetriedRequestFromFirstAttempt() {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		this.fixture.callWithPrompt("once", 3_333);
		reservationCall(0).listener().onNoCapacity();
		PromptInfo p = new PromptInfo(1_111, 1_190, 400);
		this.fixture.call("once", 10_000, p);
		this.fixture.timer.advance(250);
		Assertions.assertThat(reservationCall(1).tokens()).isGreaterThan(3_333);
	}

	private void refuseReservationsFor(long ms, int from) {
		int unanswered = from;
		for (int i = 0; i < ms; i++) {
			while (unanswered < this.fixture.workers.reservations.size()) {
				reservationCall(unanswered++).listener().onNoCapacity();
			}
			this.fixture.timer.advance(1);
		}
	}

	// A burst of twice what the workers bear. Served in the order of their arrival, all
	// callers would get their place when it is all but too late, and a prefill that takes
	// a little longer than others makes each of them late.
	@Test
	void servesNewestFirstUnderOverload() {
		Assertions.assertThat(tokensOfFirstCallAfterRefusals(620)).isGreaterThan(6_000);
	}

	// Callers have waited for a moment only and all can be in time: who came first goes
	// first.
	@Test
	void servesOldestFirstWithoutOverload() {
		Assertions.assertThat(tokensOfFirstCallAfterRefusals(100)).isLessThan(3_500 + 500);
	}

	// One caller has been refused for a while when another comes, with twice its prompt.
	private int tokensOfFirstCallAfterRefusals(long ms) {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		this.fixture.callWithPrompt("once", 3_000);
		refuseReservationsFor(ms, 0);
		int n = this.fixture.workers.reservations.size();
		this.fixture.callWithPrompt("once", 6_000);
		this.fixture.timer.advance(250);
		return reservationCall(n).tokens();
	}

	// The burst is over, and callers whose answers will be late still wait. With the
	// oldest of them first, those who come after would wait behind all of them and be
	// late too.
	@Test
	void servesNewestFirstAmongLateRequests() {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		this.fixture.callWithPrompt("once", 100);
		reservationCall(0).listener().onNoCapacity();
		this.fixture.call("once", 9_000, new PromptInfo(3_000, 1_190, 400));
		this.fixture.call("once", 10_000, new PromptInfo(6_000, 1_190, 400));
		this.fixture.timer.advance(250);
		reservationCall(1).listener().onReserved("h1");
		Assertions.assertThat(reservationCall(2).tokens()).isGreaterThan(6_000);
	}

	// A worker has memory for a short prompt, but not for the long one that asked last.
	// Left alone by all, it would stand half empty while callers wait.
	@Test
	void offersShortPromptToWorkerThatRefusedLongOne() {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		this.fixture.callWithPrompt("once", 6_000);
		reservationCall(0).listener().onNoCapacity();
		this.fixture.callWithPrompt("once", 5_800);
		Assertions.assertThat(this.fixture.workers.reservations).hasSize(1);
		this.fixture.callWithPrompt("once", 1_000);
		Assertions.assertThat(this.fixture.workers.reservations).hasSize(2);
		Assertions.assertThat(reservationCall(1).tokens()).isLessThan(2_000);
	}

	// One caller can still be in time but finds no memory for its long prompt. If short
	// ones that are late took each piece of memory that becomes free, it would be late
	// too.
	@Test
	void holdsBackLateRequestsWhileTimelyOnesWait() {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		this.fixture.callWithPrompt("once", 6_000);
		reservationCall(0).listener().onNoCapacity();
		this.fixture.call("once", 10_000, new PromptInfo(500, 1_190, 400));
		refuseReservationsFor(500, 1);
		Assertions.assertThat(this.fixture.workers.reservations).allMatch((h) -> h.tokens() > 6_000);
	}

	// Two VMs serve all callers of a fleet, and in a burst more wait than the queue
	// holds. Turned away on arrival, those who could be in time would make room for those
	// who are late in any case.
	@Test
	void fullQueueRejectsLastInOrderNotNewest() {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		Call first = this.fixture.callWithPrompt("once", 3_000);
		reservationCall(0).listener().onNoCapacity();
		Call late = this.fixture.call("once", 9_000, new PromptInfo(3_000, 1_190, 400));
		Call[] more = new Call[63];
		for (int i = 0; i < more.length; i++) {
			more[i] = this.fixture.callWithPrompt("once", 3_000);
		}
		Assertions.assertThat(late.caller().status).isEqualTo(503);
		Assertions.assertThat(first.caller().responseCount).isZero();
		Assertions.assertThat(more).allMatch((c) -> c.caller().responseCount == 0);
	}

	// A burst lasts longer than callers wait. Kept until they are about to leave, they
	// would come back so late that the next try is their last one, and it may be in vain.
	@Test
	void rejectsLateRequestWellBeforeCallerTimesOut() {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		Call c = this.fixture.callWithPrompt("once", 3_000);
		refuseReservationsFor(2 * GatewayFixture.TARGET_MS + 10, 0);
		Assertions.assertThat(c.caller().status).isEqualTo(503);
		Assertions.assertThat(c.caller().refusal.retryAfterMs()).isGreaterThan(2_000);
	}

	@Test
	void refusesImmediatelyWithoutDecodeWorker() {
		Assertions.assertThat(this.fixture.callWithPrompt("once", 100).caller().status).isEqualTo(503);
	}

	// A burst outlasts what callers wait for a first event. One who is refused then and
	// comes back within a second waits in vain once more, and has no third try.
	@Test
	void delaysRetryOfLateRequestUntilAfterBurst() {
		Assertions.assertThat(RetryAfter.lateDelayMs(9_000, 2_000, 0)).isEqualTo(3_000);
		Assertions.assertThat(RetryAfter.lateDelayMs(9_000, 2_000, 1)).isEqualTo(1_800);
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		Call c = waitUntilRefused();
		Assertions.assertThat(c.caller().status).isEqualTo(503);
		Assertions.assertThat(c.caller().refusal.retryAfterMs()).isBetween(2_000L, 3_700L);
	}

	// A caller with a long answer was refused and comes back with less time than its
	// answer takes. Placed, it holds memory for seconds and is cut off in the middle.
	@Test
	void refusesImmediatelyIfResponseCannotCompleteInTime() {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		PromptInfo p = new PromptInfo(3_000, 1_190, 1_190);
		streamEvents(70);
		Assertions.assertThat(this.fixture.call("once", 14_000, p).caller().responseCount).isZero();
		Assertions.assertThat(this.fixture.call("once", 8_000, p).caller().status).isEqualTo(503);
		Assertions.assertThat(this.fixture.workers.reservations).hasSize(2);
	}

	// A VM has just started, and answers are thousands of tokens. As long as none has
	// shown how long a token takes, the longest may well end in time; refused, its caller
	// would be turned away beside idle workers.
	@Test
	void acceptsLongResponseBeforePaceIsKnown() {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		PromptInfo p = new PromptInfo(5_000, 9_000, 9_000);
		Assertions.assertThat(this.fixture.call("once", 6_000, p).caller().responseCount).isZero();
		Assertions.assertThat(this.fixture.workers.reservations).hasSize(1);
	}

	// Engines that make a token in less than a millisecond, and the first answer has only
	// just begun. Its events show the pace, seconds before it ends.
	@Test
	void learnsPaceFromStreamingResponse() {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		streamEvents(7);
		Assertions.assertThat(this.fixture.gateway.engineTimes("llm").generationMs(5_000)).isBetween(3_400L, 3_600L);
	}

	private void streamEvents(long eventMs) {
		this.fixture.callWithPrompt("once", 100);
		reservationCall(0).listener().onReserved("h1");
		this.fixture.timer.advance(10);
		this.fixture.workers.lastRun().respondHead(200);
		for (int i = 1; i <= 5; i++) {
			this.fixture.workers.lastRun().sendEvents("id: " + i + "\ndata: a\n\n");
			this.fixture.timer.advance(eventMs);
		}
	}

	@Test
	void advisesEarlyRetryForLongResponse() {
		Assertions.assertThat(RetryAfter.lateDelayMs(11_000, 6_000, 0)).isEqualTo(2_000);
		Assertions.assertThat(RetryAfter.lateDelayMs(11_000, 9_000, 0)).isEqualTo(500);
	}

}
