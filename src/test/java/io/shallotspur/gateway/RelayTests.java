package io.shallotspur.gateway;

import java.util.List;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.shallotspur.gateway.GatewayFixture.Call;

/**
 * Tests of relaying requests, with fake workers and manual time.
 */
class RelayTests {

	private final GatewayFixture f = new GatewayFixture().configured().addPlainWorkers(3);

	@Test
	void relaysTheWorkersResponse() {
		Call c = this.f.call("safe");
		this.f.workers.lastRun().respond(200, "fine");
		Assertions.assertThat(c.caller().status).isEqualTo(200);
		Assertions.assertThat(c.caller().body).isEqualTo("fine");
		Assertions.assertThat(this.f.gateway.inProgress()).isZero();
	}

	@Test
	void refusesAsNotRunBeforeTheFirstConfiguration() {
		GatewayFixture g = new GatewayFixture();
		Assertions.assertThat(g.call("safe").caller().status).isEqualTo(503);
	}

	@Test
	void respondsNotFoundForAnUnknownPath() {
		Assertions.assertThat(this.f.call("other").caller().status).isEqualTo(404);
	}

	// A worker fails some of its calls. On a route that allows repetition, the caller
	// sees the error unless the request is retried at another worker.
	@Test
	void retriesASafeRequestAtAnotherWorker() {
		Call c = this.f.call("safe");
		String first = this.f.workers.lastRun().call.worker().id();
		this.f.workers.lastRun().respond(500, "bad");
		Assertions.assertThat(this.f.workers.lastRun().call.worker().id()).isNotEqualTo(first);
		this.f.workers.lastRun().respond(200, "fine");
		Assertions.assertThat(c.caller().status).isEqualTo(200);
	}

	@Test
	void relaysTheWorkersErrorAfterTheLastAttempt() {
		Call c = this.f.call("safe");
		this.f.workers.lastRun().respond(500, "bad");
		this.f.workers.lastRun().respond(500, "worse");
		Assertions.assertThat(c.caller().status).isEqualTo(500);
		Assertions.assertThat(c.caller().body).isEqualTo("worse");
		Assertions.assertThat(this.f.workers.runs).hasSize(2);
	}

	// The connection is reset after a request to issue a key was sent. Retrying it gives
	// the guest two valid keys; reporting it as not run makes the client send it again.
	@Test
	void neverRetriesAnUnsafeRequestThatMayHaveRun() {
		Call c = this.f.call("unsafe");
		this.f.workers.lastRun().resetConnection();
		Assertions.assertThat(this.f.workers.runs).hasSize(1);
		Assertions.assertThat(c.caller().status).isEqualTo(502);
	}

	// Guards against a caller that repeats a request which has run, as the worker's error
	// has a status that promises the opposite.
	@ParameterizedTest
	@ValueSource(ints = { 408, 429, 503 })
	void replacesAFailureThatPromisesWhatIsNotKnown(int status) {
		FakeCaller caller = this.f.call("unsafe").caller();
		this.f.workers.lastRun().respond(status, "busy");
		Assertions.assertThat(caller.status).isEqualTo(502);
		Assertions.assertThat(this.f.workers.runs).hasSize(1);
	}

	@Test
	void retriesAnUnsafeRequestThatHasNotRun() {
		Call c = this.f.call("unsafe");
		this.f.workers.lastRun().rejectNotRun();
		this.f.workers.lastRun().respond(200, "fine");
		Assertions.assertThat(c.caller().status).isEqualTo(200);
	}

	@Test
	void refusesWithARetryDelayWhenAllWorkersAreFull() {
		Call c = this.f.call("unsafe");
		this.f.workers.lastRun().rejectNotRun();
		this.f.workers.lastRun().rejectNotRun();
		Assertions.assertThat(c.caller().status).isEqualTo(503);
		Assertions.assertThat(c.caller().refusal.retryAfterMs()).isPositive();
	}

	// No connection can be made to workers that are cut off. Nothing was sent, so any
	// number of other workers may be tried.
	@Test
	void aFailedConnectionDoesNotCountAsAnAttempt() {
		Call c = this.f.call("unsafe");
		this.f.workers.lastRun().refuseConnection();
		this.f.workers.lastRun().refuseConnection();
		this.f.workers.lastRun().respond(200, "fine");
		Assertions.assertThat(c.caller().status).isEqualTo(200);
	}

	// A late response to an earlier request arrives in place of this one's. If it were
	// relayed, the caller would see another customer's status.
	@Test
	void neverRelaysTheResponseToAnotherRequest() {
		Call c = this.f.call("unsafe");
		this.f.workers.lastRun().listener
			.onHead(new ResponseHead(200, List.of(), ResponseAuthenticity.MISMATCHED, false, false, WorkerStatus.NONE));
		Assertions.assertThat(c.caller().status).isEqualTo(502);
		Assertions.assertThat(this.f.workers.lastRun().cancelled).isTrue();
	}

	@Test
	void neverRelaysAnUnsignedSuccess() {
		Call c = this.f.call("unsafe");
		this.f.workers.lastRun().listener
			.onHead(new ResponseHead(200, List.of(), ResponseAuthenticity.UNSIGNED, false, false, WorkerStatus.NONE));
		Assertions.assertThat(c.caller().status).isEqualTo(502);
	}

	@Test
	void cancelsTheCallWhenTheCallerDisconnects() {
		Call c = this.f.call("safe");
		c.disconnect().run();
		Assertions.assertThat(this.f.workers.lastRun().cancelled).isTrue();
		Assertions.assertThat(this.f.gateway.inProgress()).isZero();
	}

	// The connection closes with its response, and the close is reported while the
	// response is being written. Counted as a caller disconnect, it would end the
	// request twice.
	@Test
	void closingAfterTheResponseIsNotACallerDisconnect() {
		Call c = this.f.call("safe");
		this.f.workers.lastRun().respond(200, "fine");
		c.disconnect().run();
		Assertions.assertThat(this.f.gateway.inProgress()).isZero();
		Assertions.assertThat(this.f.metrics.counter("relay.caller-gone").getCount()).isZero();
	}

	// A worker stops responding. The caller must get a timeout when the route's timeout
	// expires, and the call must be cancelled.
	@Test
	void reportsATimeoutAtTheDeadline() {
		Call c = this.f.call("safe");
		this.f.timer.advance(870);
		Assertions.assertThat(c.caller().status).isEqualTo(504);
		Assertions.assertThat(this.f.workers.lastRun().cancelled).isTrue();
	}

	@Test
	void passesTheRemainingTimeToTheWorker() {
		this.f.call("safe", 500, null);
		Assertions.assertThat(this.f.workers.lastRun().call.timeoutMs()).isEqualTo(500);
	}

	// If workers lose every request, each one would be retried and the retries would
	// overload the remaining workers.
	@Test
	void staysWithinTheRetryBudget() {
		for (int i = 0; i < 200; i++) {
			this.f.call("safe");
			int n = this.f.workers.runs.size();
			this.f.workers.lastRun().respond(500, "");
			if (this.f.workers.runs.size() > n) {
				this.f.workers.lastRun().respond(500, "");
			}
		}
		// A fifth of 200, plus nine tenths of the slack of 50, as no other VM is known.
		Assertions.assertThat(this.f.workers.runs.size() - 200).isBetween(84, 90);
	}

	@Test
	void sendsNothingToADrainingWorker() {
		for (String id : List.of("p1", "p2")) {
			this.f.gateway.roster()
				.updateEntry(
						new WorkerInfo(id, "plain", "10.0.0.9", 80, "hall-a", 6, WorkerStage.PLAIN, true, 0, 0, "v1"),
						this.f.timer.now());
		}
		this.f.call("safe");
		Assertions.assertThat(this.f.workers.lastRun().call.worker().id()).isEqualTo("p3");
	}

	@Test
	void ignoresAnOlderConfiguration() {
		Assertions.assertThat(this.f.gateway.configure(GatewayFixture.table(5))).isTrue();
		Assertions.assertThat(this.f.gateway.configure(GatewayFixture.table(4))).isFalse();
		Assertions.assertThat(this.f.gateway.routeTable().orElseThrow().version()).isEqualTo(5);
	}

	// A worker crashed and another instance responds at its address, while the registry
	// still has the old entry for seconds. Each request sent there is rejected as not
	// run, and a route with one attempt refuses its callers although other workers
	// are free.
	@Test
	void sendsNothingToAReplacedWorker() {
		this.f.call("unsafe");
		String replaced = this.f.workers.lastRun().call.worker().id();
		this.f.workers.lastRun().rejectReplaced();
		for (int i = 0; i < 20; i++) {
			this.f.call("safe");
			Assertions.assertThat(this.f.workers.lastRun().call.worker().id()).isNotEqualTo(replaced);
		}
	}

	// No connection can be made to a worker. Each request tried there first loses the
	// time of the connection attempt.
	@Test
	void skipsAnUnreachableWorkerTemporarily() {
		this.f.call("unsafe");
		String unreachable = this.f.workers.lastRun().call.worker().id();
		this.f.workers.lastRun().refuseConnection();
		for (int i = 0; i < 20; i++) {
			this.f.call("safe");
			Assertions.assertThat(this.f.workers.lastRun().call.worker().id()).isNotEqualTo(unreachable);
		}
	}

}
