package io.shallotspur.gateway;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.GatewayFixture.Call;

/**
 * Tests of the requests that are in progress when their VM ends. Each guards against a
 * connection that is closed without an answer, or with one that is not true.
 */
class EndOfVmTests {

	private final GatewayFixture f = new GatewayFixture().configured().addPlainWorkers(1);

	@BeforeEach
	void addDecodeWorker() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
	}

	private void end() {
		this.f.gateway.endOpenRequests();
		Assertions.assertThat(this.f.gateway.inProgress()).isZero();
	}

	@Test
	void aRequestThatWaitsIsRefusedAsNotRun() {
		Call c = this.f.callWithPrompt("once", 100);
		end();
		Assertions.assertThat(c.caller().status).isEqualTo(RelayRefusal.NOT_RUN);
		Assertions.assertThat(c.caller().refusal.reason()).isEqualTo(RefusalReason.LEAVING);
		Assertions.assertThat(c.caller().refusal.retryAfterMs()).isPositive();
		Assertions.assertThat(this.f.workers.runs).isEmpty();
	}

	@Test
	void theOutcomeOfARequestAtAWorkerIsUnknown() {
		Call c = this.f.call("unsafe");
		end();
		Assertions.assertThat(c.caller().status).isEqualTo(RelayRefusal.TIMED_OUT);
	}

	@Test
	void theOutcomeOfARequestAfterALostAttemptIsUnknown() {
		this.f.addWorker("p2", "plain", WorkerStage.PLAIN);
		Call c = this.f.call("safe");
		this.f.workers.lastRun().resetConnection();
		end();
		Assertions.assertThat(c.caller().status).isEqualTo(RelayRefusal.TIMED_OUT);
	}

	@Test
	void aStreamThatHasBegunIsBrokenOff() {
		Call c = this.f.callWithPrompt("once", 100);
		this.f.workers.reservations.get(0).listener().onReserved("h");
		this.f.workers.lastRun().respondHead(200);
		this.f.workers.lastRun().sendEvents(GatewayFixture.EVENTS);
		end();
		Assertions.assertThat(c.caller().aborted).isTrue();
		Assertions.assertThat(c.caller().completed).isFalse();
	}

	@Test
	void aResumedStreamWhoseOriginIsAskedForIsRefusedAsNotRun() {
		Call c = this.f.callResuming("resume", 100, "1", "unknown");
		end();
		Assertions.assertThat(c.caller().status).isEqualTo(RelayRefusal.NOT_RUN);
	}

}
