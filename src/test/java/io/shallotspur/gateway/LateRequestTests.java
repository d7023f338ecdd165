package io.shallotspur.gateway;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.GatewayFixture.Call;

class LateRequestTests {

	private static final long LATE_AFTER_MS = 2_500;

	private static final long SHUTDOWN_AFTER_MS = 7_200;

	private final GatewayFixture f = new GatewayFixture().configured().addPlainWorkers(1);

	@BeforeEach
	void drain() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		long now = this.f.timer.now();
		this.f.gateway.drain(now + LATE_AFTER_MS, now + SHUTDOWN_AFTER_MS);
	}

	// Guards against a stream that is cut as its VM ends, since it lasted longer than was
	// expected when the draining VM took it.
	@Test
	void aStreamThatMayOutlastTheVmIsRefused() {
		this.f.timer.advance(LATE_AFTER_MS);
		Call c = this.f.callWithPrompt("once", 100);
		Assertions.assertThat(c.caller().status).isEqualTo(503);
		Assertions.assertThat(c.caller().refusal.reason()).isEqualTo(RefusalReason.LEAVING);
		Assertions.assertThat(this.f.workers.reservations).isEmpty();
	}

	@Test
	void aRequestThatMustEndInTimeIsServed() {
		this.f.timer.advance(LATE_AFTER_MS);
		Call c = this.f.call("safe");
		this.f.workers.lastRun().respond(200, "fine");
		Assertions.assertThat(c.caller().status).isEqualTo(200);
	}

	@Test
	void aStreamThatComesBeforeIsServed() {
		this.f.timer.advance(LATE_AFTER_MS - 1);
		Call c = this.f.callWithPrompt("once", 100);
		Assertions.assertThat(c.caller().responseCount).isZero();
		Assertions.assertThat(this.f.workers.reservations).hasSize(1);
	}

}
