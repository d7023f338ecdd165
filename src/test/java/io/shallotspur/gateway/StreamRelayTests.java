package io.shallotspur.gateway;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.GatewayFixture.Call;

/**
 * Tests of model requests: reservation, prefill, streams and their resumption.
 */
class StreamRelayTests {

	private final GatewayFixture f = new GatewayFixture().configured();

	@BeforeEach
	void engines() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		this.f.addWorker("d2", "llm", WorkerStage.DECODE);
	}

	private Call running(String route) {
		Call c = this.f.callWithPrompt(route, 100);
		this.f.workers.reservations.get(this.f.workers.reservations.size() - 1).listener().onReserved("h");
		return c;
	}

	@Test
	void relaysWholeEvents() {
		Call c = running("once");
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

	// A worker dies in the middle of an event of a stream that must not run twice. An end
	// that looks complete would hand the clerk half a summary.
	@Test
	void breaksOffAStreamThatCannotGoOn() {
		Call c = running("once");
		this.f.workers.lastRun().respondHead(200);
		this.f.workers.lastRun().sendEvents(GatewayFixture.EVENTS + "id: 3\nda");
		this.f.workers.lastRun().resetConnection();
		Assertions.assertThat(c.caller().body).isEqualTo(GatewayFixture.EVENTS);
		Assertions.assertThat(c.caller().aborted).isTrue();
		Assertions.assertThat(c.caller().completed).isFalse();
		Assertions.assertThat(this.f.workers.runs).hasSize(1);
	}

	// The same, where the route allows going on: another worker continues after the last
	// whole event, and the caller notices nothing.
	@Test
	void resumesAStreamAfterItsLastWholeEvent() {
		Call c = running("resume");
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

	// The worker of a long answer dies some seconds after its caller came, and the others
	// are full for a moment. The caller waits for the next event as long as it would have
	// waited for the first; given up at once, it would be left with half an answer.
	@Test
	void waitsForAPlaceToGoOnAsLongAsForTheFirst() {
		Call c = running("resume");
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

	// An answer without a length ends in the middle of an event with a clean close. It
	// must not pass for a whole one.
	@Test
	void aCleanCloseWithinAnEventIsNoEnd() {
		Call c = running("once");
		this.f.workers.lastRun().respondHead(200);
		this.f.workers.lastRun().sendEvents(GatewayFixture.EVENTS + "id: 3\n");
		this.f.workers.lastRun().listener.onEnd();
		Assertions.assertThat(c.caller().aborted).isTrue();
	}

	@Test
	void prefillsLongPromptsApart() {
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

	// The caller leaves while its prompt is prefilled. The place at the decode worker and
	// the KV cache that still comes would stay held for nobody.
	@Test
	void givesBackWhatACallerWhoLeftHeld() {
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

	// The caller leaves while the reservation is on its way.
	@Test
	void givesBackAReservationThatComesTooLate() {
		Call c = this.f.callWithPrompt("once", 3_000);
		c.disconnect().run();
		this.f.workers.reservations.get(0).listener().onReserved("h1");
		Assertions.assertThat(this.f.workers.cancelledReservations).containsExactly("h1");
		Assertions.assertThat(this.f.workers.runs).isEmpty();
	}

	// A prefill worker goes dark. The request must reach its decode worker while its
	// answer can still be on time.
	@Test
	void prefillsAtTheDecodeWorkerWhenAPrefillDoesNotAnswer() {
		this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		this.f.callWithPrompt("once", 3_000);
		this.f.workers.reservations.get(0).listener().onReserved("h1");
		this.f.timer.advance(GatewayFixture.TARGET_MS * 6 / 10 + 1);
		Assertions.assertThat(this.f.workers.lastRun().call.kvSource()).isNull();
		Assertions.assertThat(this.f.workers.lastRun().call.reservation()).isEqualTo("h1");
	}

	// A refused prefill counts as an attempt; a route with one attempt has none left.
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

	// A worker crashes behind a cut and starts again under its id. The connection to it
	// stays silent, so without the news from the registry the caller would wait for its
	// deadline.
	@Test
	void goesOnElsewhereWhenTheWorkerHasStartedAgain() {
		Call c = running("resume");
		FakeWorkers.Run first = this.f.workers.lastRun();
		first.respondHead(200);
		first.sendEvents(GatewayFixture.EVENTS);
		this.f.restart(first.call.worker());
		Assertions.assertThat(first.cancelled).isTrue();
		this.f.workers.reservations.get(1).listener().onReserved("h2");
		Assertions.assertThat(this.f.workers.lastRun().call.lastEventId()).isEqualTo("2");
		Assertions.assertThat(c.caller().aborted).isFalse();
	}

	// The same for a stream that must not run twice: its caller is told at once that the
	// outcome is not known.
	@Test
	void endsWhatMayHaveRunWhenTheWorkerHasStartedAgain() {
		Call c = running("once");
		this.f.restart(this.f.workers.lastRun().call.worker());
		Assertions.assertThat(c.caller().status).isEqualTo(502);
		Assertions.assertThat(this.f.workers.runs).hasSize(1);
	}

	// A KV cache waits at a prefill worker that starts again while its decode worker is
	// being asked. The handle may name another prompt by now: it must not be offered.
	@Test
	void neverOffersAHandleFromBeforeARestart() {
		WorkerInfo f1 = this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		this.f.callWithPrompt("once", 3_000);
		this.f.workers.reservations.get(0).listener().onReserved("h");
		this.f.restart(f1);
		Assertions.assertThat(this.f.workers.prefills.get(0).cancelled).isTrue();
		this.f.workers.prefills.get(0).listener.onReady("kv-old");
		Assertions.assertThat(this.f.workers.lastRun().call.kvSource()).isNull();
		Assertions.assertThat(this.f.workers.releasedHandles).containsExactly("kv-old");
	}

	// The decode worker starts again while the prompt is read elsewhere. The place that
	// was reserved there went with its memory; another one is reserved.
	@Test
	void reservesAgainWhenTheDecodeWorkerHasStartedAgain() {
		this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		this.f.callWithPrompt("once", 3_000);
		this.f.workers.reservations.get(0).listener().onReserved("h");
		this.f.restart(this.f.workers.reservations.get(0).worker());
		this.f.workers.prefills.get(0).listener.onReady("kv");
		Assertions.assertThat(this.f.workers.runs).isEmpty();
		Assertions.assertThat(this.f.workers.reservations).hasSize(2);
	}

	// A worker says that it leaves while the prompt is read elsewhere for a request that
	// has a place there: the request would reach it after all VMs had to leave it alone.
	@Test
	void reservesAgainWhenTheDecodeWorkerLeavesMeanwhile() {
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

	// The same for a worker whose entry is removed without a word.
	@Test
	void reservesAgainWhenTheEntryOfTheDecodeWorkerIsGoneMeanwhile() {
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

	// A place is granted by a worker that has said meanwhile that it leaves. A prompt
	// read for it would be read in vain.
	@Test
	void readsNoPromptForAPlaceAtAWorkerThatLeaves() {
		this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		this.f.callWithPrompt("once", 3_000);
		this.f.drain(this.f.workers.reservations.get(0).worker());
		this.f.addWorker("d9", "llm", WorkerStage.DECODE);
		this.f.workers.reservations.get(0).listener().onReserved("h");
		Assertions.assertThat(this.f.workers.prefills).isEmpty();
		Assertions.assertThat(this.f.workers.reservations).hasSize(2);
	}

}
