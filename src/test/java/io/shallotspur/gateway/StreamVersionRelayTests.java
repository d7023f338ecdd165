package io.shallotspur.gateway;

import java.util.List;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.GatewayFixture.Call;

/**
 * Tests of streams while workers of two software versions serve.
 */
class StreamVersionRelayTests {

	private final GatewayFixture f = new GatewayFixture().configured();

	private void addDecodeWorker(String id, String version) {
		this.f.addWorker(id, "llm", WorkerStage.DECODE, version);
	}

	private void reserve() {
		this.f.workers.reservations.get(this.f.workers.reservations.size() - 1).listener().onReserved("h");
	}

	private Call startStream() {
		Call c = this.f.callWithPrompt("resume", 100);
		reserve();
		this.f.workers.lastRun().respondHead(200);
		this.f.workers.lastRun().sendEvents(GatewayFixture.EVENTS);
		return c;
	}

	// Guards against a response that a VM itself continues at another version.
	@Test
	@Tag("known-red")
	void continuesABrokenStreamAtItsVersion() {
		addDecodeWorker("a", "v1");
		Call c = startStream();
		List.of("b", "c", "d", "e", "f").forEach((id) -> addDecodeWorker(id, "v2"));
		addDecodeWorker("g", "v1");
		this.f.workers.lastRun().resetConnection();
		reserve();
		Assertions.assertThat(this.f.workers.lastRun().call.worker().id()).isEqualTo("g");
		Assertions.assertThat(c.caller().aborted).isFalse();
	}

	// Guards against a response that goes on at another version as no worker of its own
	// is left.
	@Test
	@Tag("known-red")
	void breaksAStreamOffWhenItsVersionHasNoOtherWorker() {
		addDecodeWorker("a", "v1");
		Call c = startStream();
		addDecodeWorker("b", "v2");
		this.f.workers.lastRun().resetConnection();
		Assertions.assertThat(c.caller().aborted).isTrue();
		Assertions.assertThat(this.f.workers.reservations).hasSize(1);
	}

}
