package io.shallotspur.gateway;

import java.util.List;
import java.util.Set;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.shallotspur.quarantine.Crash;
import io.shallotspur.quarantine.CrashState;
import io.shallotspur.quarantine.Suspect;
import io.shallotspur.quarantine.SuspectEntry;
import io.shallotspur.quarantine.UnsettledRuns;

/**
 * Tests of requests that crash the workers that run them, and of innocent requests that
 * ran beside them.
 */
class RequestQuarantineTests {

	private static final long CHECK_MS = 150;

	private static final long SETTLING_MS = 1_000;

	// Between the end of a run and the crash of its worker.
	private static final long CRASH_DELAY_MS = 40;

	// A check of a worker that a caller has left is done by then.
	private static final long LATE_CHECK_MS = 500;

	// The entry of a worker that has ended is removed by then.
	private static final long ENTRY_LAPSE_MS = 3_600;

	private static final byte[] CRASHING = "crashing".getBytes();

	private final GatewayFixture f = new GatewayFixture().configured();

	@BeforeEach
	void addWorkers() {
		this.f.addPlainWorkers(6);
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
	}

	private GatewayFixture.Call sendPlain(byte[] body) {
		return this.f.callWithBody("unsafe", body, null);
	}

	private GatewayFixture.Call sendPrompt(byte[] body) {
		return this.f.callWithBody("once", body, new PromptInfo(3_000, 1_190, 400));
	}

	// The worker of the latest run ends.
	private void crashLastRun() {
		FakeWorkers.Run r = this.f.workers.lastRun();
		this.f.workers.ended.add(r.call.worker().id());
		r.resetConnection();
		this.f.timer.advance(CHECK_MS);
		this.f.gateway.roster().entryRemoved(r.call.worker().id(), this.f.timer.now());
	}

	private void crashThreeWorkers() {
		for (int i = 0; i < 3; i++) {
			sendPlain(CRASHING);
			crashLastRun();
		}
		this.f.timer.advance(SETTLING_MS);
	}

	@Test
	void refusesARequestAfterItsThirdCrash() {
		crashThreeWorkers();
		int runs = this.f.workers.runs.size();
		FakeCaller caller = sendPlain(CRASHING).caller();
		Assertions.assertThat(this.f.workers.runs).hasSize(runs);
		Assertions.assertThat(caller.status).isEqualTo(503);
		Assertions.assertThat(caller.refusal.reason()).isEqualTo(RefusalReason.CRASHES_WORKERS);
	}

	// Guards against callers that are told to come back while the request would be
	// refused again.
	@Test
	void retryDelayLastsAsLongAsTheQuarantine() {
		crashThreeWorkers();
		long waitMs = sendPlain(CRASHING).caller().refusal.retryAfterMs();
		this.f.timer.advance(waitMs - 1);
		Assertions.assertThat(sendPlain(CRASHING).caller().status).isEqualTo(503);
		this.f.timer.advance(1);
		int runs = this.f.workers.runs.size();
		sendPlain(CRASHING);
		Assertions.assertThat(this.f.workers.runs).hasSize(runs + 1);
	}

	@Test
	void otherRequestsOfTheSameRouteAreServed() {
		crashThreeWorkers();
		FakeCaller caller = sendPlain("another".getBytes()).caller();
		this.f.workers.lastRun().respond(200, "fine");
		Assertions.assertThat(caller.status).isEqualTo(200);
	}

	// Guards against refusing a request of which another VM knows that it has completed.
	@Test
	void isNotRefusedBeforeNewsOfOtherVmsIsIn() {
		for (int i = 0; i < 3; i++) {
			sendPlain(CRASHING);
			crashLastRun();
		}
		int runs = this.f.workers.runs.size();
		FakeCaller caller = sendPlain(CRASHING).caller();
		Assertions.assertThat(this.f.workers.runs).hasSize(runs + 1);
		this.f.workers.lastRun().respond(200, "fine");
		this.f.timer.advance(SETTLING_MS);
		Assertions.assertThat(caller.status).isEqualTo(200);
		sendPlain(CRASHING);
		Assertions.assertThat(this.f.workers.runs).hasSize(runs + 2);
	}

	private void startStream(String worker) {
		this.f.addWorker(worker, "llm", WorkerStage.DECODE);
		sendPrompt(CRASHING);
		this.f.workers.reservations.get(this.f.workers.reservations.size() - 1).listener().onReserved("h");
	}

	private void streamFor(long ms) {
		this.f.workers.lastRun().respondHead(200);
		this.f.workers.lastRun().sendEvents("id: 1\ndata: a\n\n");
		this.f.timer.advance(ms);
		this.f.workers.lastRun().sendEvents("id: 2\ndata: b\n\n");
	}

	private List<SuspectEntry> entries() {
		return this.f.gateway.quarantine().suspects(this.f.timer.now()).stream().map(Suspect::entry).toList();
	}

	private List<CrashState> states() {
		return entries().get(0).crashes().stream().map(Crash::state).toList();
	}

	// Guards against suspecting a request that had run well on the worker that crashed
	// as much as one that had just begun.
	@Test
	void progressBeforeACrashCounts() {
		startStream("x1");
		streamFor(200);
		crashLastRun();
		Assertions.assertThat(states()).containsExactly(CrashState.PROVEN);
		startStream("x2");
		streamFor(20);
		crashLastRun();
		Assertions.assertThat(states()).containsExactly(CrashState.PROVEN, CrashState.OPEN);
	}

	@Test
	void progressAfterACrashCounts() {
		startStream("x1");
		crashLastRun();
		Assertions.assertThat(states()).containsExactly(CrashState.OPEN);
		startStream("x2");
		streamFor(200);
		Assertions.assertThat(states()).containsExactly(CrashState.PROVEN);
	}

	// Guards against refusing a request that crashed with its workers in mid stream, as
	// it ran beside others.
	@Test
	void progressCountsAgainstSuspicion() {
		for (int i = 0; i < 3; i++) {
			startStream("x" + i);
			streamFor(200);
			crashLastRun();
		}
		this.f.timer.advance(SETTLING_MS);
		Assertions.assertThat(entries())
			.singleElement()
			.matches((e) -> e.unclearedCrashCount() == 3 && !e.quarantined());
	}

	// Guards against refusing a request whose connections were reset at workers that are
	// alive.
	@Test
	void resetConnectionsAreNoCrashes() {
		for (int i = 0; i < 5; i++) {
			sendPlain(CRASHING);
			this.f.workers.lastRun().resetConnection();
			this.f.timer.advance(1_200);
		}
		Assertions.assertThat(this.f.workers.checks).hasSize(5);
		Assertions.assertThat(entries()).isEmpty();
	}

	// Guards against a check after each response of a worker that goes on breaking them
	// off.
	@Test
	void checksAWorkerOnceASecond() {
		this.f.gateway.roster().retainEntries(Set.of("p1"), this.f.timer.now());
		for (int i = 0; i < 10; i++) {
			sendPlain(new byte[i]);
			this.f.workers.lastRun().resetConnection();
			this.f.timer.advance(200);
		}
		Assertions.assertThat(this.f.workers.checks).hasSizeBetween(2, 3);
	}

	// Guards against refusing a request that ran on workers that were shut down.
	@Test
	void plannedEndsAreNoCrashes() {
		sendPlain(CRASHING);
		this.f.drain(this.f.workers.lastRun().call.worker());
		crashLastRun();
		Assertions.assertThat(entries()).isEmpty();
	}

	private void assertRefused() {
		this.f.timer.advance(SETTLING_MS);
		int runs = this.f.workers.runs.size();
		FakeCaller caller = sendPlain(CRASHING).caller();
		Assertions.assertThat(this.f.workers.runs).hasSize(runs);
		Assertions.assertThat(caller.status).isEqualTo(503);
	}

	private void assertNoSuspects() {
		Assertions.assertThat(entries()).isEmpty();
	}

	// Guards against a request that crashes one worker after the other, as its callers
	// leave shortly before.
	@Test
	void countsARequestWhoseCallerHasLeft() {
		for (int i = 0; i < 3; i++) {
			sendPlain(CRASHING).disconnect().run();
			WorkerInfo w = this.f.workers.lastRun().call.worker();
			this.f.timer.advance(CRASH_DELAY_MS);
			this.f.workers.ended.add(w.id());
			this.f.timer.advance(LATE_CHECK_MS);
			this.f.gateway.roster().entryRemoved(w.id(), this.f.timer.now());
		}
		assertRefused();
	}

	// Guards against a caller that leaves while others go on: only theirs would count.
	@Test
	void countsARequestWhoseCallerHasLeftAmongTheOthers() {
		this.f.gateway.roster().retainEntries(Set.of("p1"), this.f.timer.now());
		sendPlain("innocent".getBytes());
		sendPlain(CRASHING).disconnect().run();
		this.f.timer.advance(CRASH_DELAY_MS);
		this.f.workers.ended.add("p1");
		this.f.workers.runs.get(0).resetConnection();
		this.f.timer.advance(LATE_CHECK_MS);
		Assertions.assertThat(entries())
			.extracting(SuspectEntry::fingerprint)
			.containsExactlyInAnyOrder(this.f.fingerprint("unsafe", CRASHING),
					this.f.fingerprint("unsafe", "innocent".getBytes()));
	}

	// Guards against a request that crashes workers whose supervisor starts them again at
	// once: their addresses accept connections.
	@Test
	void countsWorkersThatAreReplacedAtOnce() {
		for (int i = 0; i < 3; i++) {
			sendPlain(CRASHING);
			WorkerInfo w = this.f.workers.lastRun().call.worker();
			this.f.workers.lastRun().resetConnection();
			this.f.timer.advance(CHECK_MS);
			this.f.replace(w);
			this.f.timer.advance(CHECK_MS);
			this.f.gateway.roster().entryRemoved(w.id(), this.f.timer.now());
		}
		assertRefused();
	}

	// Guards against taking crashes for one event, such as a rack that loses power, as
	// the
	// registry tells of them at once.
	@Test
	void replacementsThatAreHeardOfTogetherAreCrashesOfTheirOwn() {
		for (int i = 0; i < 3; i++) {
			GatewayFixture.Call crashing = sendPlain(CRASHING);
			WorkerInfo w = this.f.workers.lastRun().call.worker();
			GatewayFixture.Call innocent = sendPlain(("innocent " + i).getBytes());
			WorkerInfo other = this.f.workers.lastRun().call.worker();
			crashing.disconnect().run();
			this.f.timer.advance(LATE_CHECK_MS);
			innocent.disconnect().run();
			this.f.timer.advance(LATE_CHECK_MS);
			this.f.replace(w);
			this.f.replace(other);
			this.f.gateway.roster().entryRemoved(w.id(), this.f.timer.now());
			this.f.gateway.roster().entryRemoved(other.id(), this.f.timer.now());
		}
		assertRefused();
	}

	// Guards against waiting for the registry: the new process says itself that it is not
	// the one that was addressed.
	@Test
	void countsAWorkerWhoseSuccessorRejectsARequest() {
		this.f.gateway.roster().retainEntries(Set.of("p1"), this.f.timer.now());
		sendPlain(CRASHING);
		this.f.workers.lastRun().resetConnection();
		this.f.timer.advance(CHECK_MS);
		sendPlain("innocent".getBytes());
		this.f.workers.lastRun().rejectReplaced();
		Assertions.assertThat(entries())
			.extracting(SuspectEntry::fingerprint)
			.containsExactly(this.f.fingerprint("unsafe", CRASHING));
	}

	// Guards against a request that crashes workers whose addresses fall silent, as a
	// firewall drops connections to closed ports.
	@Test
	void countsWorkersThatFallSilentAndLoseTheirEntries() {
		for (int i = 0; i < 3; i++) {
			sendPlain(CRASHING);
			WorkerInfo w = this.f.workers.lastRun().call.worker();
			this.f.workers.silent.add(w.id());
			this.f.workers.lastRun().resetConnection();
			this.f.timer.advance(ENTRY_LAPSE_MS);
			this.f.gateway.roster().entryRemoved(w.id(), this.f.timer.now());
			this.f.timer.advance(CHECK_MS);
		}
		assertRefused();
	}

	// Guards against a crashing request whose caller leaves and whose workers' addresses
	// fall silent: that another process starts there shows that they have ended.
	@Test
	void countsCallersThatLeftASilentWorkerOnceAnotherProcessIsThere() {
		for (int i = 0; i < 3; i++) {
			sendPlain(CRASHING).disconnect().run();
			WorkerInfo w = this.f.workers.lastRun().call.worker();
			this.f.workers.silent.add(w.id());
			this.f.timer.advance(ENTRY_LAPSE_MS);
			this.f.gateway.roster().entryRemoved(w.id(), this.f.timer.now());
			this.f.timer.advance(LATE_CHECK_MS);
			this.f.replace(w);
		}
		assertRefused();
	}

	// Guards against suspecting requests whose connections a network failure has reset:
	// their worker is alive.
	@Test
	void workersThatFallSilentAndKeepTheirEntriesAreNoCrashes() {
		for (int i = 0; i < 3; i++) {
			sendPlain(CRASHING);
			this.f.workers.silent.add(this.f.workers.lastRun().call.worker().id());
			this.f.workers.lastRun().resetConnection();
			this.f.timer.advance(2 * ENTRY_LAPSE_MS);
		}
		assertNoSuspects();
	}

	// Guards against suspecting requests that broke off at a worker that leaves without
	// an announcement and still serves.
	@Test
	void workersThatLoseTheirEntriesAndListenAreNoCrashes() {
		for (int i = 0; i < 3; i++) {
			sendPlain(CRASHING);
			this.f.workers.lastRun().resetConnection();
			this.f.timer.advance(CHECK_MS);
			this.f.gateway.roster().entryRemoved(this.f.workers.lastRun().call.worker().id(), this.f.timer.now());
			this.f.timer.advance(CHECK_MS);
		}
		assertNoSuspects();
	}

	// Guards against suspecting each request whose caller leaves.
	@Test
	void callersThatLeaveWorkersThatLiveAreNoSuspects() {
		for (int i = 0; i < 4; i++) {
			sendPlain(CRASHING).disconnect().run();
			this.f.timer.advance(LATE_CHECK_MS);
		}
		assertNoSuspects();
	}

	// Guards against suspecting a request that gave up at a worker behind a cut link.
	@Test
	void callersThatLeaveWorkersThatAreCutOffAreNoSuspects() {
		for (int i = 0; i < 3; i++) {
			sendPlain(CRASHING).disconnect().run();
			WorkerInfo w = this.f.workers.lastRun().call.worker();
			this.f.workers.silent.add(w.id());
			this.f.timer.advance(ENTRY_LAPSE_MS);
			this.f.gateway.roster().entryRemoved(w.id(), this.f.timer.now());
			this.f.timer.advance(LATE_CHECK_MS);
		}
		assertNoSuspects();
	}

	// Guards against suspecting a request that has left a worker which responded to
	// others for longer than a crash takes.
	@Test
	void aWorkerThatHasRespondedSinceClearsCallersThatHadLeft() {
		this.f.gateway.roster().retainEntries(Set.of("p1"), this.f.timer.now());
		sendPlain(CRASHING).disconnect().run();
		sendPlain("innocent".getBytes());
		this.f.timer.advance(UnsettledRuns.CRASH_DELAY_MS + 1);
		this.f.workers.lastRun().respond(200, "fine");
		this.f.replace(this.f.workers.lastRun().call.worker());
		assertNoSuspects();
	}

	// Guards against suspecting a request that has completed at another worker meanwhile.
	@Test
	void completionElsewhereClearsARequestThatBrokeOff() {
		sendPlain(CRASHING);
		WorkerInfo w = this.f.workers.lastRun().call.worker();
		this.f.workers.lastRun().resetConnection();
		this.f.timer.advance(CHECK_MS);
		sendPlain(CRASHING);
		this.f.workers.lastRun().respond(200, "fine");
		this.f.replace(w);
		assertNoSuspects();
	}

	// Guards against a new connection for each caller that leaves.
	@Test
	void checksAWorkerOnceASecondForCallersThatLeave() {
		this.f.gateway.roster().retainEntries(Set.of("p1"), this.f.timer.now());
		for (int i = 0; i < 10; i++) {
			sendPlain(new byte[i]).disconnect().run();
			this.f.timer.advance(200);
		}
		Assertions.assertThat(this.f.workers.checks).hasSizeLessThanOrEqualTo(2);
	}

	// Guards against a new connection to a worker at which other requests go on: their
	// connections tell of its end.
	@Test
	void doesNotCheckAWorkerWithOtherRequests() {
		this.f.gateway.roster().retainEntries(Set.of("p1"), this.f.timer.now());
		sendPlain("innocent".getBytes());
		sendPlain(CRASHING).disconnect().run();
		this.f.timer.advance(LATE_CHECK_MS);
		Assertions.assertThat(this.f.workers.checks).isEmpty();
	}

	// Guards against a new connection for each of the responses that a worker breaks off.
	@Test
	void checksAWorkerOnceForAllThatBreaksOffTogether() {
		for (int i = 0; i < 60; i++) {
			sendPlain(new byte[i]);
		}
		List.copyOf(this.f.workers.runs).forEach(FakeWorkers.Run::resetConnection);
		this.f.timer.advance(CHECK_MS);
		Assertions.assertThat(this.f.workers.checks).doesNotHaveDuplicates();
	}

	// Guards against a copy of a quarantined request that was waiting for a place.
	@Test
	void refusesACopyThatWaitsForAReservation() {
		FakeCaller caller = sendPrompt(CRASHING).caller();
		quarantine("once");
		this.f.workers.reservations.get(0).listener().onReserved("h1");
		Assertions.assertThat(caller.status).isEqualTo(503);
		Assertions.assertThat(this.f.workers.runs).isEmpty();
		Assertions.assertThat(this.f.workers.cancelledReservations).containsExactly("h1");
	}

	// Guards against a copy of a quarantined request whose prompt was being prefilled.
	@Test
	void refusesACopyWhosePromptIsBeingPrefilled() {
		this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		FakeCaller caller = sendPrompt(CRASHING).caller();
		this.f.workers.reservations.get(0).listener().onReserved("h1");
		quarantine("once");
		this.f.workers.prefills.get(0).listener.onReady("kv1");
		Assertions.assertThat(caller.status).isEqualTo(503);
		Assertions.assertThat(this.f.workers.runs).isEmpty();
		Assertions.assertThat(this.f.workers.releasedHandles).containsExactly("kv1");
	}

	// Guards against a second prefill of a request that was quarantined during its first.
	@Test
	void doesNotRepeatThePrefillOfAQuarantinedRequest() {
		this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		this.f.addWorker("f2", "llm", WorkerStage.PREFILL);
		this.f.gateway.engineTimes("llm")
			.setSharedStatistics(new EngineStatistics(20, 3_000, 500, 3_800, 0.03, 0.03, 1, OutputLengthModel.PRIOR));
		FakeCaller caller = this.f.callWithBody("resume", CRASHING, new PromptInfo(20_000, 1_190, 400)).caller();
		this.f.workers.reservations.get(0).listener().onReserved("h1");
		quarantine("resume");
		this.f.workers.prefills.get(0).listener.onFailure(new ExchangeFailure(true, "no response"));
		Assertions.assertThat(this.f.workers.prefills).hasSize(1);
		Assertions.assertThat(this.f.workers.runs).isEmpty();
		Assertions.assertThat(caller.status).isEqualTo(503);
	}

	// Guards against a prompt that crashes the prefill workers, before it is run.
	@Test
	void prefillsCountAsRunning() {
		this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		sendPrompt(CRASHING);
		this.f.workers.reservations.get(0).listener().onReserved("h1");
		this.f.workers.ended.add("f1");
		this.f.workers.prefills.get(0).listener.onFailure(new ExchangeFailure(true, "reset"));
		this.f.timer.advance(CHECK_MS);
		Assertions.assertThat(entries()).extracting((e) -> e.crashes().get(0).worker()).containsExactly("f1@1");
	}

	// Guards against a stream that is resumed at one worker after the other.
	@Test
	void endsAResponseThatCannotBeResumedAnyMore() {
		this.f.addWorker("d2", "llm", WorkerStage.DECODE);
		GatewayFixture.Call c = this.f.callWithBody("resume", CRASHING, new PromptInfo(100, 1_190, 400));
		this.f.workers.reservations.get(0).listener().onReserved("h");
		this.f.workers.lastRun().respondHead(200);
		this.f.workers.lastRun().sendEvents(GatewayFixture.EVENTS);
		quarantine("resume");
		this.f.workers.lastRun().resetConnection();
		Assertions.assertThat(c.caller().aborted).isTrue();
		Assertions.assertThat(this.f.workers.reservations).hasSize(1);
	}

	// Another VM has observed that the request crashes workers.
	private void quarantine(String route) {
		long fingerprint = this.f.fingerprint(route, CRASHING);
		List<Crash> crashes = List.of(new Crash("w1", 1, CrashState.OPEN), new Crash("w2", 2, CrashState.OPEN),
				new Crash("w3", this.f.timer.now(), CrashState.CONVICTED));
		this.f.gateway.quarantine()
			.merge(List.of(new Suspect(new SuspectEntry(fingerprint, crashes), List.of(), Set.of())),
					this.f.timer.now());
	}

}
