package io.shallotspur.gateway;

import java.util.List;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.shallotspur.quarantine.CrashState;
import io.shallotspur.quarantine.UnsettledRuns;

/**
 * Tests of responses that have neither a length nor chunks and end with their connection.
 */
class UnframedResponseTests {

	private static final long CHECK_MS = 20;

	private static final String PART = "d0c1";

	private final GatewayFixture f = new GatewayFixture().configured();

	@BeforeEach
	void addWorkers() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		this.f.addPlainWorkers(1);
	}

	private FakeCaller stream(String... parts) {
		FakeCaller caller = this.f.callWithParts("once", parts).caller();
		this.f.workers.reservations.get(this.f.workers.reservations.size() - 1).listener().onReserved("h");
		return caller;
	}

	private void respondUnframed(String body) {
		FakeWorkers.Run r = this.f.workers.lastRun();
		r.listener.onHead(
				new ResponseHead(200, List.of(), ResponseAuthenticity.SIGNED, false, false, WorkerStatus.NONE, true));
		r.listener.onBytes(body.getBytes());
		r.listener.onEnd();
	}

	private List<CrashState> statesOfParts() {
		return this.f.gateway.quarantine()
			.suspects(this.f.timer.now())
			.stream()
			.filter((s) -> s.isPart())
			.flatMap((s) -> s.entry().crashes().stream())
			.map((c) -> c.state())
			.toList();
	}

	@Test
	void isWholeIfTheWorkerGoesOn() {
		FakeCaller caller = stream();
		respondUnframed(GatewayFixture.EVENTS);
		this.f.timer.advance(CHECK_MS);
		Assertions.assertThat(caller.completed).isTrue();
	}

	// Guards against a stream that looks complete although its worker has ended between
	// two events.
	@Test
	void isBrokenOffIfTheWorkerHasEnded() {
		FakeCaller caller = stream();
		this.f.workers.ended.add("d1");
		respondUnframed(GatewayFixture.EVENTS);
		this.f.timer.advance(CHECK_MS);
		Assertions.assertThat(caller.completed).isFalse();
		Assertions.assertThat(caller.aborted).isTrue();
	}

	// Guards against a stream that looks complete although its worker's machine is gone.
	@Test
	void isBrokenOffIfTheWorkerDoesNotRespond() {
		FakeCaller caller = stream();
		this.f.workers.silent.add("d1");
		respondUnframed(GatewayFixture.EVENTS);
		this.f.timer.advance(CHECK_MS);
		Assertions.assertThat(caller.aborted).isTrue();
	}

	// Guards against a plain response that is cut and looks whole.
	@Test
	void aPlainResponseIsVerifiedToo() {
		FakeCaller whole = this.f.call("unsafe").caller();
		respondUnframed("fine");
		this.f.timer.advance(CHECK_MS);
		Assertions.assertThat(whole.status).isEqualTo(200);
		FakeCaller cut = this.f.call("unsafe").caller();
		this.f.workers.ended.add("p1");
		respondUnframed("fi");
		this.f.timer.advance(CHECK_MS);
		Assertions.assertThat(cut.status).isEqualTo(502);
	}

	@Test
	void endsWithinAnEventAtOnce() {
		FakeCaller caller = stream();
		respondUnframed("id: 1\ndata: a\n\nid: 2\nda");
		Assertions.assertThat(caller.aborted).isTrue();
	}

	// Guards against a request that crashes its worker in this way and is cleared by it.
	@Test
	void countsAsACrashIfTheWorkerHasEnded() {
		stream(PART);
		this.f.workers.ended.add("d1");
		respondUnframed(GatewayFixture.EVENTS);
		this.f.timer.advance(CHECK_MS);
		Assertions.assertThat(statesOfParts()).containsExactly(CrashState.OPEN);
	}

	// Guards against a worker whose supervisor starts it again at once, so that its
	// address
	// accepts connections.
	@Test
	void countsAsACrashIfAnotherProcessTakesThePlaceOfTheWorker() {
		stream(PART);
		WorkerInfo w = this.f.workers.lastRun().call.worker();
		respondUnframed(GatewayFixture.EVENTS);
		this.f.timer.advance(CHECK_MS);
		this.f.replace(w);
		Assertions.assertThat(statesOfParts()).containsExactly(CrashState.OPEN);
	}

	// Guards against a worker all of whose answers end with their connections: they would
	// never speak for the parts of their prompts.
	@Test
	void clearsAPartOnceTheWorkerHasRespondedAgain() {
		stream(PART);
		this.f.workers.ended.add("d1");
		this.f.workers.lastRun().resetConnection();
		this.f.timer.advance(UnsettledRuns.CRASH_DELAY_MS);
		this.f.gateway.roster().entryRemoved("d1", this.f.timer.now());
		this.f.addWorker("d2", "llm", WorkerStage.DECODE);
		stream(PART);
		respondUnframed(GatewayFixture.EVENTS);
		this.f.timer.advance(UnsettledRuns.CRASH_DELAY_MS + 1);
		Assertions.assertThat(statesOfParts()).containsExactly(CrashState.OPEN);
		stream();
		this.f.workers.lastRun().respondHead(200);
		Assertions.assertThat(statesOfParts()).containsExactly(CrashState.CLEARED);
	}

	// Guards against two results of one attempt.
	@Test
	void theDeadlineMayPassDuringTheCheck() {
		FakeCaller caller = this.f.call("unsafe").caller();
		this.f.timer.advance(850);
		respondUnframed("fine");
		this.f.timer.advance(CHECK_MS);
		Assertions.assertThat(caller.status).isIn(200, 504);
	}

}
