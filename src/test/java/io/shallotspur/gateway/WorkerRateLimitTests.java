package io.shallotspur.gateway;

import java.util.Random;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.GatewayFixture.Call;

/**
 * Tests of the rate limits that workers report: over several VMs, and at one VM.
 */
class WorkerRateLimitTests {

	private static final long SECOND_MS = 1_000;

	private static WorkerRateLimit limit(double perSecond) {
		return new WorkerRateLimit(perSecond);
	}

	// Guards against VMs that together send an overloaded worker more than its limit.
	@Test
	void allVmsTogetherStayWithinAWorkersLimit() {
		RateLimitedFleet f = new RateLimitedFleet(8, 3, 1);
		f.run(8_000, 43, 0.05);
		f.setLimit("p1", limit(4.9));
		f.run(20_000, 43, 0.05);
		Assertions.assertThat(f.violations()).isEmpty();
	}

	// Guards against VMs that each apply the whole limit, or accumulate tokens and send
	// at the same time: fleets of random size, changing limits, VMs that disagree about
	// the serving set.
	@Test
	void randomFleetsStayWithinTheLimits() {
		for (long seed = 0; seed < 60; seed++) {
			Random r = new Random(seed);
			RateLimitedFleet f = new RateLimitedFleet(1 + r.nextInt(40), 3, seed);
			double perSecond = 20 + r.nextInt(80);
			double strayShare = 0.3 * r.nextDouble();
			f.run(3_000, perSecond, strayShare);
			for (int i = 0; i < 6; i++) {
				f.setLimit("p" + (1 + r.nextInt(3)), limit(12 * r.nextDouble() * r.nextDouble()));
				int vm = r.nextInt(f.size());
				boolean crowded = r.nextBoolean();
				f.setOverloaded(vm, crowded, (v) -> v % 2 == 0);
				f.run(SECOND_MS, perSecond, strayShare);
				f.setOverloaded(vm, crowded, (v) -> true);
				f.run(4_000 + r.nextInt(4_000), perSecond, strayShare);
			}
			Assertions.assertThat(f.violations()).as("seed %d", seed).isEmpty();
		}
	}

	// Guards against the token that each VM accumulates during an idle minute: with forty
	// serving VMs, a worker with a limit of one request per second would receive forty at
	// once.
	@Test
	void idleVmsDoNotSendAccumulatedTokensTogether() {
		RateLimitedFleet f = new RateLimitedFleet(40, 1, 5);
		for (int vm = 0; vm < 40; vm++) {
			f.setOverloaded(vm, true, (v) -> true);
		}
		f.setLimit("p1", limit(1));
		f.run(10_000, 200, 0);
		f.run(60_000, 0, 0);
		f.run(2_000, 400, 0);
		Assertions.assertThat(f.violations()).isEmpty();
	}

	// Guards against limits that are enforced so strictly that requests are refused which
	// the workers would have accepted.
	@Test
	void limitedWorkersReceiveMostOfTheirLimit() {
		RateLimitedFleet f = new RateLimitedFleet(8, 3, 2);
		f.setLimit("p1", limit(6));
		f.setLimit("p2", limit(12));
		f.setLimit("p3", limit(25));
		f.run(5_000, 100, 0);
		f.run(20_000, 100, 0);
		Assertions.assertThat(f.receivedSince("p1", 5_000)).isBetween(100L, 132L);
		Assertions.assertThat(f.receivedSince("p2", 5_000)).isBetween(210L, 262L);
		Assertions.assertThat(f.receivedSince("p3", 5_000)).isBetween(450L, 540L);
	}

	private static double utilization(int serving, double perSecond, double firstVmShare) {
		RateLimitedFleet f = new RateLimitedFleet(8, 1, 6);
		for (int vm = 0; vm < 8; vm++) {
			f.setOverloaded(vm, serving > 2, (v) -> true);
		}
		f.preferFirst(firstVmShare);
		f.setLimit("p1", limit(perSecond));
		f.run(4_000, 100, 0);
		f.run(60_000, 100, 0);
		Assertions.assertThat(f.violations()).isEmpty();
		return f.receivedSince("p1", 4_000) / (60 * perSecond);
	}

	// Guards against shares that stay unused at VMs with few callers.
	@Test
	void saturatedLimitsAreMostlyUsed() {
		Assertions.assertThat(utilization(2, 5, 0)).isGreaterThan(0.85);
		Assertions.assertThat(utilization(2, 40, 0)).isGreaterThan(0.85);
		Assertions.assertThat(utilization(2, 5, 0.6)).isGreaterThan(0.70);
		Assertions.assertThat(utilization(2, 40, 0.6)).isGreaterThan(0.70);
		Assertions.assertThat(utilization(8, 1, 0)).isGreaterThan(0.5);
	}

	// Guards against refusals while the workers' limits have capacity left: requests that
	// arrive unevenly wait briefly instead.
	@Test
	void requestsWaitBrieflyForALimitWithCapacity() {
		RateLimitedFleet f = new RateLimitedFleet(8, 3, 3);
		for (int w = 1; w <= 3; w++) {
			f.setLimit("p" + w, limit(16));
		}
		f.run(25_000, 43, 0);
		Assertions.assertThat(f.servedShare(5_000)).isGreaterThan(0.97);
	}

	@Test
	void noRequestIsRefusedWhileOneWorkerIsUnlimited() {
		RateLimitedFleet f = new RateLimitedFleet(8, 3, 4);
		f.setLimit("p1", limit(1));
		f.setLimit("p2", limit(0));
		f.run(20_000, 60, 0.2);
		Assertions.assertThat(f.retryDelays()).isEmpty();
	}

	// Guards against requests that wait although the limit cannot admit them in time.
	@Test
	void requestThatCannotBeSentInTimeIsRefusedImmediately() {
		GatewayFixture f = new GatewayFixture().configured().addPlainWorkers(1);
		f.call("safe");
		f.workers.lastRun().respondWithLimit(limit(4));
		Call first = f.call("safe");
		Call second = f.call("safe");
		Assertions.assertThat(first.caller().completed).isFalse();
		Assertions.assertThat(second.caller().refusal.reason()).isEqualTo(RefusalReason.WORKERS_LIMITED);
		Assertions.assertThat(second.caller().status).isEqualTo(503);
		Assertions.assertThat(second.caller().refusal.retryAfterMs()).isBetween(400L, 500L);
		f.timer.advance(250);
		f.workers.lastRun().respondWithLimit(limit(4));
		Assertions.assertThat(first.caller().status).isEqualTo(200);
	}

	@Test
	void cancelledWaitReleasesItsReservation() {
		GatewayFixture f = new GatewayFixture().configured().addPlainWorkers(1);
		f.call("safe");
		f.workers.lastRun().respondWithLimit(limit(4));
		f.call("safe").disconnect().run();
		Assertions.assertThat(f.call("safe").caller().refusal).isNull();
		f.timer.advance(250);
		Assertions.assertThat(f.workers.runs).hasSize(2);
	}

	// Guards against a burst of waiting requests when the limit is lowered meanwhile.
	@Test
	void waitingRequestsRespectALoweredLimit() {
		GatewayFixture f = new GatewayFixture().configured().addPlainWorkers(1);
		f.call("safe");
		f.call("safe");
		f.workers.runs.get(0).respondWithLimit(limit(20));
		Call[] waiting = { f.call("safe"), f.call("safe"), f.call("safe") };
		f.workers.runs.get(1).respondWithLimit(limit(2));
		f.timer.advance(200);
		Assertions.assertThat(f.workers.runs).hasSize(2);
		f.timer.advance(500);
		Assertions.assertThat(f.workers.runs).hasSize(3);
		Assertions.assertThat(waiting[2].caller().refusal).isNotNull();
	}

	// Guards against an older response that arrives later on another connection and lifts
	// the limit; the worker would receive a burst until its next response.
	@Test
	void staleResponseDoesNotLiftALimit() {
		WorkerRateLimiter limiter = new WorkerRateLimiter();
		limiter.update(limit(4), 100, 180);
		Assertions.assertThat(limiter.update(WorkerRateLimit.UNLIMITED, 120, 190)).isFalse();
		Assertions.assertThat(limiter.limit()).isEqualTo(limit(4));
		Assertions.assertThat(limiter.update(WorkerRateLimit.UNLIMITED, 181, 260)).isTrue();
	}

	@Test
	void firstLaterResponseWithoutALimitLiftsIt() {
		GatewayFixture f = new GatewayFixture().configured().addPlainWorkers(1);
		f.call("safe");
		f.workers.lastRun().respondWithLimit(limit(5));
		f.timer.advance(1_000);
		f.call("safe");
		f.timer.advance(10);
		f.workers.lastRun().respondWithLimit(WorkerRateLimit.UNLIMITED);
		for (int i = 0; i < 20; i++) {
			f.call("safe");
		}
		Assertions.assertThat(f.workers.runs).hasSize(22);
	}

	// Guards against a limited worker that is never used again because no VM sends to it.
	@Test
	void workerWithAZeroLimitIsProbed() {
		GatewayFixture f = new GatewayFixture().configured().addPlainWorkers(3);
		f.call("safe");
		String limited = f.workers.lastRun().call.worker().id();
		f.workers.lastRun().respondWithLimit(limit(0));
		long runsBefore = f.workers.runs.size();
		for (int i = 0; i < 100; i++) {
			f.timer.advance(100);
			f.call("safe");
			f.workers.lastRun().respondWithLimit(WorkerRateLimit.UNLIMITED);
		}
		Assertions
			.assertThat(f.workers.runs.stream().skip(runsBefore).filter((r) -> r.call.worker().id().equals(limited)))
			.isNotEmpty();
	}

	@Test
	void restartedWorkerHasNoLimit() {
		GatewayFixture f = new GatewayFixture().configured();
		WorkerInfo w = f.addWorker("p1", "plain", WorkerStage.PLAIN);
		f.call("safe");
		f.workers.lastRun().respondWithLimit(limit(0));
		f.restart(w);
		f.call("safe");
		Assertions.assertThat(f.workers.runs).hasSize(2);
	}

	// Guards against reservations, and so requests, that exceed the limit of an
	// overloaded decode worker.
	@Test
	void slotReservationsRespectTheLimit() {
		GatewayFixture f = new GatewayFixture().configured();
		f.addWorker("d1", "llm", WorkerStage.DECODE);
		f.callWithPrompt("once", 200);
		f.workers.reservations.get(0).listener().onStatus(new WorkerStatus(null, limit(4)));
		f.workers.reservations.get(0).listener().onReserved("h1");
		Assertions.assertThat(f.workers.runs).hasSize(1);
		for (int i = 0; i < 4; i++) {
			f.callWithPrompt("once", 200);
		}
		Assertions.assertThat(f.workers.reservations).hasSize(1);
		f.timer.advance(1_000);
		Assertions.assertThat(f.workers.reservations).hasSizeBetween(2, 4);
	}

	// Guards against a limit that is used up by requests that were never sent.
	@Test
	void refusedReservationDoesNotConsumeTheLimit() {
		GatewayFixture f = new GatewayFixture().configured();
		f.addWorker("d1", "llm", WorkerStage.DECODE);
		f.callWithPrompt("once", 200);
		f.workers.reservations.get(0).listener().onStatus(new WorkerStatus(null, limit(4)));
		f.workers.reservations.get(0).listener().onNoCapacity();
		f.timer.advance(500);
		Assertions.assertThat(f.workers.reservations).hasSize(2);
		f.workers.reservations.get(1).listener().onNoCapacity();
		f.timer.advance(250);
		Assertions.assertThat(f.workers.reservations).hasSize(3);
	}

	@Test
	void limitedPrefillWorkerIsSkipped() {
		GatewayFixture f = new GatewayFixture().configured();
		f.addWorker("d1", "llm", WorkerStage.DECODE);
		f.addWorker("f1", "llm", WorkerStage.PREFILL);
		f.callWithPrompt("once", 3_000);
		f.workers.reservations.get(0).listener().onReserved("h1");
		f.workers.prefills.get(0).listener.onStatus(new WorkerStatus(null, limit(0.5)));
		f.workers.prefills.get(0).listener.onReady("k1");
		f.callWithPrompt("once", 3_000);
		f.workers.reservations.get(1).listener().onReserved("h2");
		Assertions.assertThat(f.workers.prefills).hasSize(1);
		Assertions.assertThat(f.workers.runs).hasSize(2);
	}

	// Guards against a late request that is refused for a rate limit, with an immediate
	// retry, although no worker reports one.
	@Test
	void lateRequestWithoutLimitsIsRefusedAsWorkersFull() {
		GatewayFixture f = new GatewayFixture().configured();
		f.addWorker("d1", "llm", WorkerStage.DECODE);
		PromptInfo p = new PromptInfo(3_000, 1_190, 400);
		for (int i = 0; i < 20; i++) {
			f.gateway.engineTimes("llm").recordResponse(12_000, p, 400);
		}
		Call c = f.call("once", 8_000, p);
		Assertions.assertThat(c.caller().refusal.reason()).isEqualTo(RefusalReason.WORKERS_FULL);
	}

	// Guards against more connections than a worker accepts from all VMs together: it
	// resets the excess ones, and whether their requests have run is not known.
	@Test
	void connectionsStayWithinTheWorkersLimit() {
		GatewayFixture f = new GatewayFixture().configured().addPlainWorkers(1);
		EntryVm ownVm = new EntryVm("vms/1", "10.1.0.1:80", "r", "hall-a", 1, false);
		f.gateway.entryVms().registerSelf(ownVm);
		f.gateway.entryVms().register(new EntryVm("vms/2", "10.1.0.2:80", "r", "hall-b", 1, false));
		Call last = null;
		for (int i = 0; i < 60; i++) {
			last = f.call("unsafe");
		}
		Assertions.assertThat(f.workers.runs).hasSizeLessThanOrEqualTo(50);
		Assertions.assertThat(last.caller().status).isEqualTo(503);
		f.workers.runs.get(0).respond(200, "fine");
		Assertions.assertThat(f.call("unsafe").caller().refusal).isNull();
	}

}
