package io.shallotspur.gateway;

import java.util.List;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.GatewayFixture.Call;

/**
 * Tests of how requests are relayed, with workers and time moved by hand.
 */
class RelayTests {

	private final GatewayFixture f = new GatewayFixture().configured().addPlainWorkers(3);

	@Test
	void answersWithWhatTheWorkerSaid() {
		Call c = this.f.call("safe");
		this.f.workers.lastRun().respond(200, "fine");
		Assertions.assertThat(c.caller().status).isEqualTo(200);
		Assertions.assertThat(c.caller().body).isEqualTo("fine");
		Assertions.assertThat(this.f.gateway.inProgress()).isZero();
	}

	@Test
	void refusesAsNotRunWhileNoConfigurationIsKnown() {
		GatewayFixture g = new GatewayFixture();
		Assertions.assertThat(g.call("safe").caller().status).isEqualTo(503);
	}

	@Test
	void unknownPathIsNotFound() {
		Assertions.assertThat(this.f.call("other").caller().status).isEqualTo(404);
	}

	// A worker fails one call in a few. A caller of a route that may be repeated sees the
	// error unless another worker is asked.
	@Test
	void repeatsASafeRequestElsewhereAfterAFailure() {
		Call c = this.f.call("safe");
		String first = this.f.workers.lastRun().call.worker().id();
		this.f.workers.lastRun().respond(500, "bad");
		Assertions.assertThat(this.f.workers.lastRun().call.worker().id()).isNotEqualTo(first);
		this.f.workers.lastRun().respond(200, "fine");
		Assertions.assertThat(c.caller().status).isEqualTo(200);
	}

	@Test
	void givesTheWorkersFailureWhenAttemptsAreUsedUp() {
		Call c = this.f.call("safe");
		this.f.workers.lastRun().respond(500, "bad");
		this.f.workers.lastRun().respond(500, "worse");
		Assertions.assertThat(c.caller().status).isEqualTo(500);
		Assertions.assertThat(c.caller().body).isEqualTo("worse");
		Assertions.assertThat(this.f.workers.runs).hasSize(2);
	}

	// The connection to a worker is reset after a key request was sent. Sent again, the
	// guest gets two live keys; told "not run", the kiosk sends it again.
	@Test
	void neverRepeatsAnUnsafeRequestThatMayHaveRun() {
		Call c = this.f.call("unsafe");
		this.f.workers.lastRun().resetConnection();
		Assertions.assertThat(this.f.workers.runs).hasSize(1);
		Assertions.assertThat(c.caller().status).isEqualTo(502);
	}

	@Test
	void repeatsAnUnsafeRequestThatSurelyHasNotRun() {
		Call c = this.f.call("unsafe");
		this.f.workers.lastRun().rejectNotRun();
		this.f.workers.lastRun().respond(200, "fine");
		Assertions.assertThat(c.caller().status).isEqualTo(200);
	}

	@Test
	void refusesWithAdviceWhenEveryWorkerIsFull() {
		Call c = this.f.call("unsafe");
		this.f.workers.lastRun().rejectNotRun();
		this.f.workers.lastRun().rejectNotRun();
		Assertions.assertThat(c.caller().status).isEqualTo(503);
		Assertions.assertThat(c.caller().refusal.retryAfterMs()).isPositive();
	}

	// No connection can be made to workers that are cut off. Nothing was sent, so that
	// any number of others may be asked.
	@Test
	void aConnectionThatWasNotMadeIsNoAttempt() {
		Call c = this.f.call("unsafe");
		this.f.workers.lastRun().refuseConnection();
		this.f.workers.lastRun().refuseConnection();
		this.f.workers.lastRun().respond(200, "fine");
		Assertions.assertThat(c.caller().status).isEqualTo(200);
	}

	// A late answer to an earlier request comes where this one's is due. Passed on, a
	// caller reads another customer's status.
	@Test
	void neverPassesOnAnAnswerToAnotherRequest() {
		Call c = this.f.call("unsafe");
		this.f.workers.lastRun().listener
			.onHead(new ResponseHead(200, List.of(), ResponseAuthenticity.MISMATCHED, false, false, WorkerStatus.NONE));
		Assertions.assertThat(c.caller().status).isEqualTo(502);
		Assertions.assertThat(this.f.workers.lastRun().cancelled).isTrue();
	}

	@Test
	void neverPassesOnAnUnsignedSuccess() {
		Call c = this.f.call("unsafe");
		this.f.workers.lastRun().listener
			.onHead(new ResponseHead(200, List.of(), ResponseAuthenticity.UNSIGNED, false, false, WorkerStatus.NONE));
		Assertions.assertThat(c.caller().status).isEqualTo(502);
	}

	@Test
	void stopsTheWorkerWhenTheCallerLeaves() {
		Call c = this.f.call("safe");
		c.disconnect().run();
		Assertions.assertThat(this.f.workers.lastRun().cancelled).isTrue();
		Assertions.assertThat(this.f.gateway.inProgress()).isZero();
	}

	// The connection closes with its answer, and the close is told while the answer is
	// being written. It was counted as a caller who had left, and ended the request
	// twice.
	@Test
	void aConnectionThatClosesWithItsAnswerIsNoCallerWhoLeft() {
		Call c = this.f.call("safe");
		this.f.workers.lastRun().respond(200, "fine");
		c.disconnect().run();
		Assertions.assertThat(this.f.gateway.inProgress()).isZero();
		Assertions.assertThat(this.f.metrics.counter("relay.caller-gone").getCount()).isZero();
	}

	// A worker goes silent with a request. The caller must hear so when the route's time
	// is up, and the worker must not go on.
	@Test
	void reportsATimeoutOnTime() {
		Call c = this.f.call("safe");
		this.f.timer.advance(870);
		Assertions.assertThat(c.caller().status).isEqualTo(504);
		Assertions.assertThat(this.f.workers.lastRun().cancelled).isTrue();
	}

	@Test
	void givesTheWorkerTheTimeThatIsLeft() {
		this.f.call("safe", 500, null);
		Assertions.assertThat(this.f.workers.lastRun().call.timeoutMs()).isEqualTo(500);
	}

	// Workers that lose every request would draw a second send for each of them; the
	// workers that are left drown in the repetitions.
	@Test
	void keepsToTheRetryBudget() {
		for (int i = 0; i < 200; i++) {
			this.f.call("safe");
			int n = this.f.workers.runs.size();
			this.f.workers.lastRun().respond(500, "");
			if (this.f.workers.runs.size() > n) {
				this.f.workers.lastRun().respond(500, "");
			}
		}
		// A fifth of 200 and a share of the slack of 50 for one VM and one unheard of.
		Assertions.assertThat(this.f.workers.runs.size() - 200).isBetween(40, 65);
	}

	@Test
	void leavesAWorkerThatIsLeavingAlone() {
		for (String id : List.of("p1", "p2")) {
			this.f.gateway.roster()
				.updateEntry(new WorkerInfo(id, "plain", "10.0.0.9", 80, "hall-a", 6, WorkerStage.PLAIN, true, 0, 0),
						this.f.timer.now());
		}
		this.f.call("safe");
		Assertions.assertThat(this.f.workers.lastRun().call.worker().id()).isEqualTo("p3");
	}

	@Test
	void aNewerConfigurationIsNeverReplacedByAnOlderOne() {
		Assertions.assertThat(this.f.gateway.configure(GatewayFixture.table(5))).isTrue();
		Assertions.assertThat(this.f.gateway.configure(GatewayFixture.table(4))).isFalse();
		Assertions.assertThat(this.f.gateway.routeTable().orElseThrow().version()).isEqualTo(5);
	}

	// A worker crashed and another incarnation answers at its address, but the registry
	// still has the old entry for seconds. Each request sent there comes back unrun,
	// and a route with one attempt refuses its callers although the other workers are
	// free.
	@Test
	void aReplacedWorkerGetsNothingMore() {
		this.f.call("unsafe");
		String gone = this.f.workers.lastRun().call.worker().id();
		this.f.workers.lastRun().rejectReplaced();
		for (int i = 0; i < 20; i++) {
			this.f.call("safe");
			Assertions.assertThat(this.f.workers.lastRun().call.worker().id()).isNotEqualTo(gone);
		}
	}

	// A worker is dark: no connection is made. Each request tried there first loses the
	// time of a connection that is never made.
	@Test
	void aWorkerThatTakesNoConnectionIsLeftAloneForAWhile() {
		this.f.call("unsafe");
		String dark = this.f.workers.lastRun().call.worker().id();
		this.f.workers.lastRun().refuseConnection();
		for (int i = 0; i < 20; i++) {
			this.f.call("safe");
			Assertions.assertThat(this.f.workers.lastRun().call.worker().id()).isNotEqualTo(dark);
		}
	}

}
