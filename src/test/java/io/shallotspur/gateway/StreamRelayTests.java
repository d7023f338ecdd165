package io.shallotspur.gateway;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.GatewayFixture.Call;

/**
 * Tests of model requests: reservation, prefill, streaming and resumption.
 */
class StreamRelayTests {

	private final GatewayFixture f = new GatewayFixture().configured();

	@BeforeEach
	void addDecodeWorkers() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		this.f.addWorker("d2", "llm", WorkerStage.DECODE);
	}

	private Call startStream(String route) {
		Call c = this.f.callWithPrompt(route, 100);
		this.f.workers.reservations.get(this.f.workers.reservations.size() - 1).listener().onReserved("h");
		return c;
	}

	@Test
	void relaysCompleteEventsOnly() {
		Call c = startStream("once");
		FakeWorkers.Run r = this.f.workers.lastRun();
		r.respondHead(200);
		r.sendEvents("id: 1\nda");
		Assertions.assertThat(c.caller().responseCount).isZero();
		r.sendEvents("ta: a\n\nid: 2\n");
		Assertions.assertThat(c.caller().body).isEqualTo("id: 1\ndata: a\n\n");
		r.sendEvents("data: b\n\n");
		r.listener.onEnd();
		Assertions.assertThat(c.caller().body).isEqualTo(GatewayFixture.EVENTS);
		Assertions.assertThat(c.caller().completed).isTrue();
	}

	// A worker fails in the middle of an event of a stream that must not run twice. If
	// the stream seemed complete, the caller would take half a summary for the whole.
	@Test
	void abortsAStreamThatCannotResume() {
		Call c = startStream("once");
		this.f.workers.lastRun().respondHead(200);
		this.f.workers.lastRun().sendEvents(GatewayFixture.EVENTS + "id: 3\nda");
		this.f.workers.lastRun().resetConnection();
		Assertions.assertThat(c.caller().body).isEqualTo(GatewayFixture.EVENTS);
		Assertions.assertThat(c.caller().aborted).isTrue();
		Assertions.assertThat(c.caller().completed).isFalse();
		Assertions.assertThat(this.f.workers.runs).hasSize(1);
	}

	// As above, on a route that allows resumption: another worker continues after the
	// last complete event, and the caller notices nothing.
	@Test
	void resumesAStreamAfterItsLastCompleteEvent() {
		Call c = startStream("resume");
		this.f.workers.lastRun().respondHead(200);
		this.f.workers.lastRun().sendEvents(GatewayFixture.EVENTS + "id: 3\nda");
		this.f.workers.lastRun().resetConnection();
		this.f.workers.reservations.get(1).listener().onReserved("h2");
		FakeWorkers.Run r = this.f.workers.lastRun();
		Assertions.assertThat(r.call.lastEventId()).isEqualTo("2");
		r.respondHead(200);
		r.sendEvents("id: 3\ndata: c\n\n");
		r.listener.onEnd();
		Assertions.assertThat(c.caller().body).isEqualTo(GatewayFixture.EVENTS + "id: 3\ndata: c\n\n");
		Assertions.assertThat(c.caller().completed).isTrue();
		Assertions.assertThat(c.caller().responseCount).isEqualTo(1);
	}

	// The worker of a long response fails some seconds after the request arrived, and
	// all others are full for a moment. The wait to resume may be as long as the initial
	// wait; giving up at once would leave the caller with half a response.
	@Test
	void allowsResumptionToWaitAsLongAsFirstAttempt() {
		Call c = startStream("resume");
		this.f.workers.lastRun().respondHead(200);
		this.f.workers.lastRun().sendEvents(GatewayFixture.EVENTS);
		this.f.timer.advance(5_000);
		this.f.workers.lastRun().resetConnection();
		this.f.workers.reservations.get(1).listener().onNoCapacity();
		this.f.timer.advance(1_000);
		Assertions.assertThat(c.caller().aborted).isFalse();
		this.f.workers.reservations.get(2).listener().onReserved("h2");
		Assertions.assertThat(this.f.workers.lastRun().call.lastEventId()).isEqualTo("2");
	}

	// A response without a length is closed cleanly in the middle of an event. It must
	// not be treated as complete.
	@Test
	void abortsOnACleanCloseWithinAnEvent() {
		Call c = startStream("once");
		this.f.workers.lastRun().respondHead(200);
		this.f.workers.lastRun().sendEvents(GatewayFixture.EVENTS + "id: 3\n");
		this.f.workers.lastRun().listener.onEnd();
		Assertions.assertThat(c.caller().aborted).isTrue();
	}

	@Test
	void prefillsLongPromptsAtAPrefillWorker() {
		this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		Call c = this.f.callWithPrompt("once", 3_000);
		this.f.workers.reservations.get(0).listener().onReserved("h1");
		this.f.workers.prefills.get(0).listener.onReady("kv1");
		WorkerCall call = this.f.workers.lastRun().call;
		Assertions.assertThat(call.kvSource().handle()).isEqualTo("kv1");
		Assertions.assertThat(call.reservation()).isEqualTo("h1");
		this.f.workers.lastRun().respondHead(200);
		this.f.workers.lastRun().sendEvents(GatewayFixture.EVENTS);
		this.f.workers.lastRun().listener.onEnd();
		Assertions.assertThat(c.caller().completed).isTrue();
	}

	// The caller disconnects during the prefill. The reservation at the decode worker and
	// the KV cache that is completed later would stay allocated unless they are released.
	@Test
	void releasesResourcesWhenTheCallerDisconnects() {
		this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		Call c = this.f.callWithPrompt("once", 3_000);
		this.f.workers.reservations.get(0).listener().onReserved("h1");
		c.disconnect().run();
		this.f.workers.prefills.get(0).listener.onReady("kv1");
		Assertions.assertThat(this.f.workers.prefills.get(0).cancelled).isTrue();
		Assertions.assertThat(this.f.workers.cancelledReservations).containsExactly("h1");
		Assertions.assertThat(this.f.workers.releasedHandles).containsExactly("kv1");
		Assertions.assertThat(this.f.workers.runs).isEmpty();
	}

	// The caller disconnects before the reservation is granted.
	@Test
	void cancelsAReservationGrantedAfterTheDisconnect() {
		Call c = this.f.callWithPrompt("once", 3_000);
		c.disconnect().run();
		this.f.workers.reservations.get(0).listener().onReserved("h1");
		Assertions.assertThat(this.f.workers.cancelledReservations).containsExactly("h1");
		Assertions.assertThat(this.f.workers.runs).isEmpty();
	}

	// A prefill worker stops responding. The request must reach its decode worker early
	// enough to meet its objective.
	@Test
	void prefillsAtTheDecodeWorkerAfterAPrefillTimeout() {
		this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		this.f.callWithPrompt("once", 3_000);
		this.f.workers.reservations.get(0).listener().onReserved("h1");
		this.f.timer.advance(GatewayFixture.TARGET_MS * 6 / 10 + 1);
		Assertions.assertThat(this.f.workers.lastRun().call.kvSource()).isNull();
		Assertions.assertThat(this.f.workers.lastRun().call.reservation()).isEqualTo("h1");
	}

	// A refused prefill counts as an attempt, so a route with one attempt has none left.
	@Test
	void aRefusedPrefillUsesUpTheOnlyAttempt() {
		this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		Call c = this.f.callWithPrompt("once", 3_000);
		this.f.workers.reservations.get(0).listener().onReserved("h1");
		this.f.workers.prefills.get(0).listener.onRefused("status 503", false);
		Assertions.assertThat(c.caller().status).isEqualTo(503);
		Assertions.assertThat(this.f.workers.cancelledReservations).containsExactly("h1");
		Assertions.assertThat(this.f.workers.runs).isEmpty();
	}

	// A worker crashes behind a network partition and restarts with the same id. Its
	// connection stays silent, so without the registry update the caller would wait
	// until its deadline.
	@Test
	void resumesAtAnotherWorkerAfterAWorkerRestart() {
		Call c = startStream("resume");
		FakeWorkers.Run first = this.f.workers.lastRun();
		first.respondHead(200);
		first.sendEvents(GatewayFixture.EVENTS);
		this.f.restart(first.call.worker());
		Assertions.assertThat(first.cancelled).isTrue();
		this.f.workers.reservations.get(1).listener().onReserved("h2");
		Assertions.assertThat(this.f.workers.lastRun().call.lastEventId()).isEqualTo("2");
		Assertions.assertThat(c.caller().aborted).isFalse();
	}

	// As above, for a stream that must not run twice: its caller is told at once that
	// the outcome is unknown.
	@Test
	void reportsUnknownOutcomeAfterAWorkerRestart() {
		Call c = startStream("once");
		this.f.restart(this.f.workers.lastRun().call.worker());
		Assertions.assertThat(c.caller().status).isEqualTo(502);
		Assertions.assertThat(this.f.workers.runs).hasSize(1);
	}

	// A prefill worker restarts after it was asked to prefill. Its handle may refer to
	// another prompt by now and must not be passed to the decode worker.
	@Test
	void neverUsesAKvHandleFromBeforeARestart() {
		WorkerInfo f1 = this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		this.f.callWithPrompt("once", 3_000);
		this.f.workers.reservations.get(0).listener().onReserved("h");
		this.f.restart(f1);
		Assertions.assertThat(this.f.workers.prefills.get(0).cancelled).isTrue();
		this.f.workers.prefills.get(0).listener.onReady("kv-old");
		Assertions.assertThat(this.f.workers.lastRun().call.kvSource()).isNull();
		Assertions.assertThat(this.f.workers.releasedHandles).containsExactly("kv-old");
	}

	// The decode worker restarts while the prompt is prefilled elsewhere. Its
	// reservation was lost with its memory, so another one is made.
	@Test
	void reservesAgainAfterADecodeWorkerRestart() {
		this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		this.f.callWithPrompt("once", 3_000);
		this.f.workers.reservations.get(0).listener().onReserved("h");
		this.f.restart(this.f.workers.reservations.get(0).worker());
		this.f.workers.prefills.get(0).listener.onReady("kv");
		Assertions.assertThat(this.f.workers.runs).isEmpty();
		Assertions.assertThat(this.f.workers.reservations).hasSize(2);
	}

	// A decode worker with a reservation starts draining while the prompt is prefilled
	// elsewhere. The request would reach it after all VMs must have stopped using it.
	@Test
	void reservesAgainWhenTheDecodeWorkerDrains() {
		this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		this.f.callWithPrompt("once", 3_000);
		WorkerInfo first = this.f.workers.reservations.get(0).worker();
		this.f.workers.reservations.get(0).listener().onReserved("h");
		this.f.drain(first);
		this.f.addWorker("d9", "llm", WorkerStage.DECODE);
		this.f.workers.prefills.get(0).listener.onReady("kv");
		Assertions.assertThat(this.f.workers.runs).isEmpty();
		Assertions.assertThat(this.f.workers.cancelledReservations).containsExactly("h");
		Assertions.assertThat(this.f.workers.reservations.get(1).worker().id()).isNotEqualTo(first.id());
	}

	// As above, for a worker whose registration is removed without notice.
	@Test
	void reservesAgainWhenTheDecodeWorkerIsDeregistered() {
		this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		this.f.callWithPrompt("once", 3_000);
		WorkerInfo first = this.f.workers.reservations.get(0).worker();
		this.f.workers.reservations.get(0).listener().onReserved("h");
		this.f.gateway.roster().entryRemoved(first.id(), this.f.timer.now());
		this.f.addWorker("d9", "llm", WorkerStage.DECODE);
		this.f.workers.prefills.get(0).listener.onReady("kv");
		Assertions.assertThat(this.f.workers.runs).isEmpty();
		Assertions.assertThat(this.f.workers.reservations.get(1).worker().id()).isNotEqualTo(first.id());
	}

	// A worker that started draining in the meantime grants a reservation. Prefilling
	// the prompt for it would be wasted work.
	@Test
	void doesNotPrefillForAReservationAtADrainingWorker() {
		this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		this.f.callWithPrompt("once", 3_000);
		this.f.drain(this.f.workers.reservations.get(0).worker());
		this.f.addWorker("d9", "llm", WorkerStage.DECODE);
		this.f.workers.reservations.get(0).listener().onReserved("h");
		Assertions.assertThat(this.f.workers.prefills).isEmpty();
		Assertions.assertThat(this.f.workers.reservations).hasSize(2);
	}

}
