package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.List;

import org.assertj.core.api.Assertions;
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
	void breaksAStreamOffWhenItsVersionHasNoOtherWorker() {
		addDecodeWorker("a", "v1");
		Call c = startStream();
		addDecodeWorker("b", "v2");
		this.f.workers.lastRun().resetConnection();
		Assertions.assertThat(c.caller().aborted).isTrue();
		Assertions.assertThat(this.f.workers.reservations).hasSize(1);
	}

	// Guards against a stream that goes on at a worker whose process has been replaced by
	// another version under the same id and address.
	@Test
	void takesAnotherVersionUnderTheSameIdForAnotherInstance() {
		WorkerInfo a = this.f.addWorker("a", "llm", WorkerStage.DECODE, "v1");
		Call c = startStream();
		this.f.gateway.roster()
			.updateEntry(new WorkerInfo(a.id(), a.upstream(), a.host(), a.port(), a.hall(), a.slots(), a.stage(), false,
					0, a.startedAt(), "v2"), this.f.timer.now());
		Assertions.assertThat(this.f.workers.lastRun().cancelled).isTrue();
		Assertions.assertThat(c.caller().aborted).isTrue();
	}

	// Guards against a broken stream that waits for a version without workers, because
	// those of another version take new requests.
	@Test
	void doesNotWaitForAVersionThatHasGoneWhileOthersAreServed() {
		WorkerInfo a = this.f.addWorker("a", "llm", WorkerStage.DECODE, "v1");
		WorkerInfo b = this.f.addWorker("b", "llm", WorkerStage.DECODE, "v1");
		Call broken = startStream();
		// It is served after requests that can still be on time.
		this.f.timer.advance(1_000);
		this.f.workers.lastRun().resetConnection();
		Assertions.assertThat(this.f.workers.reservations).hasSize(2);
		addDecodeWorker("c", "v2");
		this.f.drain(a);
		this.f.drain(b);
		Call fresh = this.f.callWithPrompt("resume", 100);
		this.f.workers.reservations.get(2).listener().onNoCapacity();
		this.f.workers.reservations.get(1).listener().onNoCapacity();
		Assertions.assertThat(broken.caller().aborted).isTrue();
		Assertions.assertThat(fresh.caller().responseCount).isZero();
	}

	// Guards against new requests that are refused as if the queue were full, because few
	// workers are left for a stream that has to go on at its version.
	@Test
	void aStreamOfARareVersionDoesNotShortenTheQueue() {
		addDecodeWorker("a", "v1");
		addDecodeWorker("b", "v1");
		for (int i = 0; i < 12; i++) {
			addDecodeWorker("c" + i, "v2");
		}
		Call broken = null;
		while (broken == null) {
			Call c = startStream();
			broken = this.f.workers.lastRun().call.worker().version().equals("v1") ? c : null;
		}
		List<Call> waiting = new ArrayList<>();
		for (int i = 0; i < 70; i++) {
			waiting.add(this.f.callWithPrompt("resume", 100));
		}
		this.f.workers.runs.stream()
			.filter((r) -> r.call.worker().version().equals("v1"))
			.toList()
			.forEach(FakeWorkers.Run::resetConnection);
		Assertions.assertThat(waiting).allSatisfy((c) -> Assertions.assertThat(c.caller().responseCount).isZero());
		Assertions.assertThat(broken.caller().aborted).isFalse();
	}

	// Guards against a worker that reads a KV cache which another version has written.
	@Test
	void prefillsAtTheVersionOfTheDecodeWorkerOnly() {
		addDecodeWorker("a", "v1");
		this.f.addWorker("f1", "llm", WorkerStage.PREFILL, "v2");
		this.f.callWithPrompt("once", 3_000);
		reserve();
		Assertions.assertThat(this.f.workers.prefills).isEmpty();
		Assertions.assertThat(this.f.workers.lastRun().call.kvSource()).isNull();
		this.f.addWorker("f2", "llm", WorkerStage.PREFILL, "v1");
		this.f.callWithPrompt("once", 3_000);
		reserve();
		Assertions.assertThat(this.f.workers.prefills.get(0).call.worker().id()).isEqualTo("f2");
	}

	// Guards against a KV cache that reaches another version, as the decode worker it was
	// made for has left meanwhile.
	@Test
	void doesNotPassAKvCacheOnToAnotherVersion() {
		WorkerInfo a = this.f.addWorker("a", "llm", WorkerStage.DECODE, "v1");
		this.f.addWorker("f1", "llm", WorkerStage.PREFILL, "v1");
		this.f.callWithPrompt("once", 3_000);
		reserve();
		this.f.drain(a);
		addDecodeWorker("b", "v2");
		this.f.workers.prefills.get(0).listener.onReady("kv");
		reserve();
		Assertions.assertThat(this.f.workers.lastRun().call.worker().id()).isEqualTo("b");
		Assertions.assertThat(this.f.workers.lastRun().call.kvSource()).isNull();
		Assertions.assertThat(this.f.workers.releasedHandles).containsExactly("kv");
	}

}
