package io.shallotspur.gateway;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.GatewayFixture.Call;

/**
 * Tests of waiting for a slot at a decode worker, under the load it is designed for: more
 * long responses than the decode workers' memory can hold.
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

	// Guards against a timeout that leaves a caller in doubt whether its request has run,
	// although the worker has not even answered the reservation call.
	@Test
	void requestThatWasNotSentIsRefusedAsNotRunAtItsTimeout() {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		Call c = this.fixture.callWithPrompt("once", 100);
		this.fixture.timer.advance(20_000);
		Assertions.assertThat(c.caller().status).isEqualTo(503);
		Assertions.assertThat(c.caller().refusal.reason()).isEqualTo(RefusalReason.TIMED_OUT);
	}

	@Test
	void triesNextWorkerWhenOneIsFull() {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		this.fixture.addWorker("d2", "llm", WorkerStage.DECODE);
		this.fixture.callWithPrompt("once", 100);
		reservationCall(0).listener().onNoCapacity();
		Assertions.assertThat(reservationCall(1).worker().id()).isNotEqualTo(reservationCall(0).worker().id());
	}

	// All slots are taken for a moment. A refusal would cost the caller its only retry;
	// instead the slot that this VM's own request frees is claimed at once.
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

	// Many VMs share few workers: each must skip a full worker temporarily, so that the
	// workers do not spend their time on reservation calls.
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

	// A burst on a large fleet: every VM has a pending request, and all workers are full.
	// If each VM kept calling all workers, tens of thousands of refusals a second would
	// use up the CPU time of VMs and workers.
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

	// Prefills take a quarter of the time to the first event. If a slot were assumed to
	// lead to a response at once, pending requests would get one just too late, and all
	// responses of a burst would be slightly late.
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

	// A slot that becomes free is requested at once, even while all workers are
	// considered full.
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

	// A burst has left pending requests that will be late in any case. A new one that can
	// still be on time is served first, otherwise all of them are late.
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

	// A refused caller retries with less time left. Its objective is measured from its
	// first attempt; treated as new, it would overtake requests that can still be on
	// time.
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

	// A burst of twice the capacity of the workers. Served in the order of arrival, all
	// requests would get their slot just before it is too late, and a slightly slower
	// prefill would make each of them late.
	@Test
	void servesNewestFirstUnderOverload() {
		Assertions.assertThat(tokensOfFirstCallAfterRefusals(620)).isGreaterThan(6_000);
	}

	// Requests have waited only for a moment and all can be on time: the first to arrive
	// is served first.
	@Test
	void servesOldestFirstWithoutOverload() {
		Assertions.assertThat(tokensOfFirstCallAfterRefusals(100)).isLessThan(3_500 + 500);
	}

	// One request has waited for a while, with its reservation calls refused, when
	// another arrives with twice its prompt.
	private int tokensOfFirstCallAfterRefusals(long ms) {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		this.fixture.callWithPrompt("once", 3_000);
		refuseReservationsFor(ms, 0);
		int n = this.fixture.workers.reservations.size();
		this.fixture.callWithPrompt("once", 6_000);
		this.fixture.timer.advance(250);
		return reservationCall(n).tokens();
	}

	// The burst is over, and requests that will be late still wait. With the oldest
	// first, later arrivals would wait behind all of them and be late too.
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

	// A worker has memory for a short prompt, but not for the long one that was refused
	// last. Skipped for all requests, it would stay half empty while callers wait.
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

	// One request can still be on time but finds no memory for its long prompt. If short
	// late ones took each piece of memory that becomes free, it would be late too.
	@Test
	void holdsBackLateRequestsWhileTimelyOnesWait() {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		this.fixture.callWithPrompt("once", 6_000);
		reservationCall(0).listener().onNoCapacity();
		this.fixture.call("once", 10_000, new PromptInfo(500, 1_190, 400));
		refuseReservationsFor(500, 1);
		Assertions.assertThat(this.fixture.workers.reservations).allMatch((h) -> h.tokens() > 6_000);
	}

	// Two VMs serve all callers of a fleet, and in a burst more requests wait than the
	// queue holds. If new arrivals were rejected, requests that could be on time would
	// make way for those that are late in any case.
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

	// A burst lasts longer than callers wait. If requests were kept until just before the
	// caller gives up, its next attempt would come so late that it is the last one, and
	// it may be unsuccessful.
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

	// A burst lasts longer than callers wait for a first event. A caller that is refused
	// and retries within a second waits unsuccessfully again, and has no third attempt.
	@Test
	void delaysRetryOfLateRequestUntilAfterBurst() {
		Assertions.assertThat(RetryAfter.lateDelayMs(9_000, 2_000, 0)).isEqualTo(3_000);
		Assertions.assertThat(RetryAfter.lateDelayMs(9_000, 2_000, 1)).isEqualTo(1_800);
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		Call c = waitUntilRefused();
		Assertions.assertThat(c.caller().status).isEqualTo(503);
		Assertions.assertThat(c.caller().refusal.retryAfterMs()).isBetween(2_000L, 3_700L);
	}

	// A caller with a long response was refused and retries with less time than the
	// response takes. Once placed, it holds memory for seconds and is cut off in the
	// middle.
	@Test
	void refusesImmediatelyIfResponseCannotCompleteInTime() {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		PromptInfo p = new PromptInfo(3_000, 1_190, 1_190);
		streamEvents(70);
		Assertions.assertThat(this.fixture.call("once", 14_000, p).caller().responseCount).isZero();
		Assertions.assertThat(this.fixture.call("once", 8_000, p).caller().status).isEqualTo(503);
		Assertions.assertThat(this.fixture.workers.reservations).hasSize(2);
	}

	// A VM has just started, and responses have thousands of tokens. Until a time per
	// token has been observed, even the longest may complete in time; refusing it would
	// turn its caller away although workers are idle.
	@Test
	void acceptsLongResponseBeforePaceIsKnown() {
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
		PromptInfo p = new PromptInfo(5_000, 9_000, 9_000);
		Assertions.assertThat(this.fixture.call("once", 6_000, p).caller().responseCount).isZero();
		Assertions.assertThat(this.fixture.workers.reservations).hasSize(1);
	}

	// Engines generate a token in less than a millisecond, and the first response has
	// only just started. Its events show the pace seconds before it ends.
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
