package io.shallotspur.gateway;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.GatewayFixture.Call;

/**
 * Tests of waiting for a place at a decode worker, under the load it answers: more long
 * answers than the decode workers' memory bears.
 */
class HoldQueueTests {

	private final GatewayFixture f = new GatewayFixture().configured();

	private FakeWorkers.Reservation hold(int i) {
		return this.f.workers.reservations.get(i);
	}

	private Call waitInVain() {
		Call c = this.f.callWithPrompt("once", 100);
		for (int i = 0; i < 100 && c.caller().responseCount == 0; i++) {
			int n = this.f.workers.reservations.size();
			hold(n - 1).listener().onFull();
			while (this.f.workers.reservations.size() == n && c.caller().responseCount == 0) {
				this.f.timer.advance(50);
			}
		}
		return c;
	}

	@Test
	void asksTheNextWorkerWhenOneIsFull() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		this.f.addWorker("d2", "llm", WorkerStage.DECODE);
		this.f.callWithPrompt("once", 100);
		hold(0).listener().onFull();
		Assertions.assertThat(hold(1).worker().id()).isNotEqualTo(hold(0).worker().id());
	}

	// All places are taken for a moment. A refusal would cost the caller its one return;
	// the place that this VM's own request frees is taken at once instead.
	@Test
	void takesThePlaceThatAnEndingRequestFrees() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		this.f.callWithPrompt("once", 100);
		hold(0).listener().onHeld("h1");
		Call second = this.f.callWithPrompt("once", 100);
		hold(1).listener().onFull();
		Assertions.assertThat(this.f.workers.reservations).hasSize(2);
		this.f.workers.lastRun().respondHead(200);
		this.f.workers.lastRun().sendEvents(GatewayFixture.EVENTS);
		this.f.workers.lastRun().listener.onEnd();
		Assertions.assertThat(this.f.workers.reservations).hasSize(3);
		hold(2).listener().onHeld("h2");
		Assertions.assertThat(this.f.workers.runs).hasSize(2);
		Assertions.assertThat(second.caller().responseCount).isZero();
	}

	// Many VMs before few workers: each must leave a full worker alone for a while, lest
	// all of them spend their time asking.
	@Test
	void leavesAFullWorkerAloneForAWhile() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		this.f.callWithPrompt("once", 100);
		hold(0).listener().onFull();
		this.f.timer.advance(100);
		Assertions.assertThat(this.f.workers.reservations).hasSize(1);
		this.f.timer.advance(200);
		Assertions.assertThat(this.f.workers.reservations).hasSize(2);
	}

	// A burst on a large fleet: every VM has a request that waits, and all workers are
	// full. If each VM went through all workers again and again, tens of thousands of
	// refusals a second would use up the processors of both.
	@Test
	void asksAFullFleetAtABoundedRate() {
		for (int i = 0; i < 40; i++) {
			this.f.addWorker("d" + i, "llm", WorkerStage.DECODE);
		}
		this.f.callWithPrompt("once", 100);
		int answered = 0;
		for (int ms = 0; ms < 1_000; ms++) {
			while (answered < this.f.workers.reservations.size()) {
				hold(answered++).listener().onFull();
			}
			this.f.timer.advance(1);
		}
		Assertions.assertThat(answered).isBetween(20, 60);
	}

	// Prefills take a quarter of the time to the first event. If a place were thought to
	// lead to an answer at once, requests that wait would be given one when it is just
	// too late for them, and all answers of a burst would be late by a little.
	@Test
	void countsThePrefillInTheTimeThatAPlaceTakes() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		for (int i = 0; i < 100; i++) {
			this.f.callWithPrompt("once", 3_000);
			hold(i).listener().onHeld("h" + i);
			this.f.timer.advance(250);
			this.f.workers.prefills.get(i).listener.onReady("kv" + i);
			this.f.timer.advance(30);
			this.f.workers.lastRun().respondHead(200);
			this.f.workers.lastRun().sendEvents(GatewayFixture.EVENTS);
			this.f.workers.lastRun().listener.onEnd();
		}
		Assertions.assertThat(this.f.gateway.engineTimes("llm").leadMs()).isBetween(270L, 320L);
	}

	// A place that becomes free is asked for at once all the same.
	@Test
	void asksAtOnceWhereItsOwnRequestHasEnded() {
		for (int i = 0; i < 12; i++) {
			this.f.addWorker("d" + i, "llm", WorkerStage.DECODE);
		}
		this.f.callWithPrompt("once", 100);
		hold(0).listener().onHeld("h1");
		this.f.callWithPrompt("once", 100);
		for (int i = 1; i < this.f.workers.reservations.size(); i++) {
			hold(i).listener().onFull();
		}
		int n = this.f.workers.reservations.size();
		this.f.workers.lastRun().respondHead(200);
		this.f.workers.lastRun().sendEvents(GatewayFixture.EVENTS);
		this.f.workers.lastRun().listener.onEnd();
		Assertions.assertThat(this.f.workers.reservations.size()).isEqualTo(n + 1);
	}

	@Test
	void refusesAsNotRunBeforeTheCallerWouldLeave() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		Call c = waitInVain();
		Assertions.assertThat(c.caller().status).isEqualTo(503);
		Assertions.assertThat(c.caller().refusal.retryAfterMs()).isPositive();
		Assertions.assertThat(this.f.workers.runs).isEmpty();
	}

	// A burst has left callers waiting whose answers will be late in any case. A new one
	// that can still be answered in time goes first, else all of them are late.
	@Test
	void thoseInTimeGoBeforeTheLate() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		this.f.callWithPrompt("once", 1_111);
		hold(0).listener().onFull();
		this.f.timer.advance(240);
		hold(1).listener().onFull();
		while (this.f.workers.reservations.size() < 6) {
			int n = this.f.workers.reservations.size();
			this.f.timer.advance(250);
			if (this.f.workers.reservations.size() > n) {
				hold(n).listener().onFull();
			}
		}
		this.f.callWithPrompt("once", 2_222);
		int n = this.f.workers.reservations.size();
		this.f.timer.advance(250);
		Assertions.assertThat(hold(n).tokens()).isGreaterThan(2_222);
	}

	// A caller who was refused comes back with less time left. Its objective counts from
	// its first try; taken for new, it would pass those who can still be in time.
	@Test
	void aCallerWhoCameBackIsKnownByTheTimeItHasLeft() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		this.f.callWithPrompt("once", 3_333);
		hold(0).listener().onFull();
		PromptShape p = new PromptShape(1_111, 1_190, 400);
		this.f.call("once", 10_000, p);
		this.f.timer.advance(250);
		Assertions.assertThat(hold(1).tokens()).isGreaterThan(3_333);
	}

	private void refuseFor(long ms, int from) {
		int unanswered = from;
		for (int i = 0; i < ms; i++) {
			while (unanswered < this.f.workers.reservations.size()) {
				hold(unanswered++).listener().onFull();
			}
			this.f.timer.advance(1);
		}
	}

	// A burst of twice what the workers bear. Served in the order of their arrival, all
	// callers would get their place when it is all but too late, and a prefill that takes
	// a little longer than others makes each of them late.
	@Test
	void theNewestGoesFirstWhilePlacesFreeUpTooSlowly() {
		Assertions.assertThat(askedFirstAfterRefusalsFor(620)).isGreaterThan(6_000);
	}

	// Callers have waited for a moment only and all can be in time: who came first goes
	// first.
	@Test
	void theOldestGoesFirstWhileAllCanBeInTime() {
		Assertions.assertThat(askedFirstAfterRefusalsFor(100)).isLessThan(3_500 + 500);
	}

	// One caller has been refused for a while when another comes, with twice its prompt.
	private int askedFirstAfterRefusalsFor(long ms) {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		this.f.callWithPrompt("once", 3_000);
		refuseFor(ms, 0);
		int n = this.f.workers.reservations.size();
		this.f.callWithPrompt("once", 6_000);
		this.f.timer.advance(250);
		return hold(n).tokens();
	}

	// The burst is over, and callers whose answers will be late still wait. With the
	// oldest of them first, those who come after would wait behind all of them and be
	// late too.
	@Test
	void theNewestGoesFirstAmongTheLate() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		this.f.callWithPrompt("once", 100);
		hold(0).listener().onFull();
		this.f.call("once", 9_000, new PromptShape(3_000, 1_190, 400));
		this.f.call("once", 10_000, new PromptShape(6_000, 1_190, 400));
		this.f.timer.advance(250);
		hold(1).listener().onHeld("h1");
		Assertions.assertThat(hold(2).tokens()).isGreaterThan(6_000);
	}

	// A worker has memory for a short prompt, but not for the long one that asked last.
	// Left alone by all, it would stand half empty while callers wait.
	@Test
	void aWorkerThatRefusedALongPromptIsAskedForAShortOne() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		this.f.callWithPrompt("once", 6_000);
		hold(0).listener().onFull();
		this.f.callWithPrompt("once", 5_800);
		Assertions.assertThat(this.f.workers.reservations).hasSize(1);
		this.f.callWithPrompt("once", 1_000);
		Assertions.assertThat(this.f.workers.reservations).hasSize(2);
		Assertions.assertThat(hold(1).tokens()).isLessThan(2_000);
	}

	// One caller can still be in time but finds no memory for its long prompt. If short
	// ones that are late took each piece of memory that becomes free, it would be late
	// too.
	@Test
	void theLateGetNothingWhileOthersCanStillBeInTime() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		this.f.callWithPrompt("once", 6_000);
		hold(0).listener().onFull();
		this.f.call("once", 10_000, new PromptShape(500, 1_190, 400));
		refuseFor(500, 1);
		Assertions.assertThat(this.f.workers.reservations).allMatch((h) -> h.tokens() > 6_000);
	}

	// Two VMs serve all callers of a fleet, and in a burst more wait than the queue
	// holds. Turned away on arrival, those who could be in time would make room for those
	// who are late in any case.
	@Test
	void aFullQueueTurnsAwayWhoWouldWaitLongestAndNotWhoComes() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		Call first = this.f.callWithPrompt("once", 3_000);
		hold(0).listener().onFull();
		Call late = this.f.call("once", 9_000, new PromptShape(3_000, 1_190, 400));
		Call[] more = new Call[63];
		for (int i = 0; i < more.length; i++) {
			more[i] = this.f.callWithPrompt("once", 3_000);
		}
		Assertions.assertThat(late.caller().status).isEqualTo(503);
		Assertions.assertThat(first.caller().responseCount).isZero();
		Assertions.assertThat(more).allMatch((c) -> c.caller().responseCount == 0);
	}

	// A burst lasts longer than callers wait. Kept until they are about to leave, they
	// would come back so late that the next try is their last one, and it may be in vain.
	@Test
	void turnsALateCallerAwayWellBeforeItWouldLeave() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		Call c = this.f.callWithPrompt("once", 3_000);
		refuseFor(2 * GatewayFixture.TARGET_MS + 10, 0);
		Assertions.assertThat(c.caller().status).isEqualTo(503);
		Assertions.assertThat(c.caller().refusal.retryAfterMs()).isGreaterThan(2_000);
	}

	@Test
	void refusesAtOnceWithoutAnyDecodeWorker() {
		Assertions.assertThat(this.f.callWithPrompt("once", 100).caller().status).isEqualTo(503);
	}

	// A burst outlasts what callers wait for a first event. One who is refused then and
	// comes back within a second waits in vain once more, and has no third try.
	@Test
	void sendsALateCallerBackAfterTheBurst() {
		Assertions.assertThat(RetryAfter.lateDelayMs(9_000, 2_000, 0)).isEqualTo(3_000);
		Assertions.assertThat(RetryAfter.lateDelayMs(9_000, 2_000, 1)).isEqualTo(1_800);
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		Call c = waitInVain();
		Assertions.assertThat(c.caller().status).isEqualTo(503);
		Assertions.assertThat(c.caller().refusal.retryAfterMs()).isBetween(2_000L, 3_700L);
	}

	// A caller with a long answer was refused and comes back with less time than its
	// answer takes. Placed, it holds memory for seconds and is cut off in the middle.
	@Test
	void refusesAtOnceWhatCannotEndInTime() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		PromptShape p = new PromptShape(3_000, 1_190, 1_190);
		answerGoesOn(70);
		Assertions.assertThat(this.f.call("once", 14_000, p).caller().responseCount).isZero();
		Assertions.assertThat(this.f.call("once", 8_000, p).caller().status).isEqualTo(503);
		Assertions.assertThat(this.f.workers.reservations).hasSize(2);
	}

	// A VM has just started, and answers are thousands of tokens. As long as none has
	// shown how long a token takes, the longest may well end in time; refused, its caller
	// would be turned away beside idle workers.
	@Test
	void refusesNobodyBeforeAnyAnswerHasShownItsPace() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		PromptShape p = new PromptShape(5_000, 9_000, 9_000);
		Assertions.assertThat(this.f.call("once", 6_000, p).caller().responseCount).isZero();
		Assertions.assertThat(this.f.workers.reservations).hasSize(1);
	}

	// Engines that make a token in less than a millisecond, and the first answer has only
	// just begun. Its events show the pace, seconds before it ends.
	@Test
	void learnsThePaceFromAnAnswerThatGoesOn() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		answerGoesOn(7);
		Assertions.assertThat(this.f.gateway.engineTimes("llm").answerMs(5_000)).isBetween(3_400L, 3_600L);
	}

	private void answerGoesOn(long eventMs) {
		this.f.callWithPrompt("once", 100);
		hold(0).listener().onHeld("h1");
		this.f.timer.advance(10);
		this.f.workers.lastRun().respondHead(200);
		for (int i = 1; i <= 5; i++) {
			this.f.workers.lastRun().sendEvents("id: " + i + "\ndata: a\n\n");
			this.f.timer.advance(eventMs);
		}
	}

	@Test
	void callsALongAnswerBackWhileItCanStillEndInTime() {
		Assertions.assertThat(RetryAfter.lateDelayMs(11_000, 6_000, 0)).isEqualTo(2_000);
		Assertions.assertThat(RetryAfter.lateDelayMs(11_000, 9_000, 0)).isEqualTo(500);
	}

}
