package io.shallotspur.cell;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import io.shallotspur.outcome.Outcome;
import io.shallotspur.outcome.RefusalCode;

import static org.assertj.core.api.Assertions.assertThat;

class CellFailureTests {

	/**
	 * Time after which the isolation of a suspect of a single crash ends at the latest,
	 * less one step, in milliseconds.
	 */
	private static final long ISOLATION_MS = (CellSettings.defaults().isolationTokens() - 1) * 40L;

	private static CellSimulation cell(int prefill, int decode) {
		return CellSimulation.of(CellSettings.defaults(), prefill, decode, 20);
	}

	private static void assertNoResourcesHeld(CellSimulation sim) {
		assertThat(sim.isIdle()).isTrue();
		assertThat(sim.scheduler.activeRequestCount()).isZero();
	}

	@Test
	void stalledTransferIsRetriedOnAnotherWorkerWithoutPrefill() {
		// The link of a decode worker stalls during KV cache transfers. Without stall
		// detection, callers would wait for a first token until their deadline. The same
		// KV cache must be sent to another worker, and the stalled worker is skipped
		// temporarily.
		CellSimulation sim = cell(1, 2);
		sim.stalledWorkers.add("d1");
		sim.stalledWorkers.add("d2");
		sim.submit(sim.request("r1", "a", 0, 6000), 20);
		sim.runUntil(1250);
		String first = sim.transferring.values().iterator().next();
		sim.stalledWorkers.remove(first.equals("d1") ? "d2" : "d1");
		sim.runUntil(20_000);
		assertThat(sim.completed).containsExactly("r1");
		assertThat(sim.computedTokens.get("r1")).isEqualTo(6000);
		assertThat(sim.actions).anyMatch((a) -> a instanceof CellAction.CancelTransfer);
		assertThat(sim.firstTokenAt.get("r1")).isLessThanOrEqualTo(2000);
		assertNoResourcesHeld(sim);
	}

	@Test
	void answerResumesWithoutDuplicateTokensAfterDecodeWorkerCrash() {
		// A decode worker crashes in the middle of an answer. After a pause, another
		// worker must generate the rest, without repeating a token.
		CellSimulation sim = cell(2, 2);
		sim.submit(sim.request("r1", "a", 0, 6000), 100);
		sim.runUntil(3000);
		String worker = sim.decoding.values().iterator().next();
		sim.crash(worker);
		sim.runUntil(20_000);
		assertThat(sim.completed).containsExactly("r1");
		List<CellAction.StartPrefill> starts = sim.prefillStarts();
		assertThat(starts).hasSize(2);
		assertThat(starts.get(1).deliveredTokens()).isPositive();
		assertThat(starts.get(1).decodeWorkerId()).isNotEqualTo(worker);
		assertNoResourcesHeld(sim);
	}

	@Test
	void transferIsRetriedWithTheSameKvCacheAfterDecodeWorkerCrash() {
		// A decode worker crashes during a KV cache transfer. The cache is still on the
		// prefill worker, so it must be sent to another decode worker instead of being
		// computed again.
		CellSimulation sim = cell(1, 2);
		sim.submit(sim.request("r1", "a", 0, 6000), 20);
		sim.runUntil(1250);
		sim.crash(sim.transferring.values().iterator().next());
		sim.runUntil(20_000);
		assertThat(sim.completed).containsExactly("r1");
		assertThat(sim.prefillStarts()).hasSize(1);
		assertNoResourcesHeld(sim);
	}

	@Test
	void prefillIsRetriedOnAnotherWorkerAfterCrash() {
		// A prefill worker crashes during a prefill. Another worker must repeat the
		// prefill, so that the caller only waits longer.
		CellSimulation sim = cell(2, 1);
		sim.submit(sim.request("r1", "a", 0, 4000), 20);
		sim.runUntil(300);
		String worker = sim.prefilling.values().iterator().next();
		sim.crash(worker);
		sim.runUntil(20_000);
		assertThat(sim.completed).containsExactly("r1");
		assertThat(sim.prefillStarts().get(1).prefillWorkerId()).isNotEqualTo(worker);
		assertNoResourcesHeld(sim);
	}

	@Test
	void lostNonRepeatableRequestEndsWithUnknownOutcome() {
		// A worker crashes while it runs a request that may run at most once. The request
		// must not be retried, and the caller must receive an unknown outcome.
		CellSimulation sim = cell(1, 2);
		ModelRequest r = sim.request("r1", "a", 0, 6000);
		sim.submit(new ModelRequest("r1", "a", "c", r.promptTokens(), r.prefixBlocks(), 0, 1, 2000, 53, 0, 15_000,
				false, 7), 100);
		sim.runUntil(3000);
		sim.crash(sim.decoding.values().iterator().next());
		sim.runUntil(20_000);
		assertThat(sim.refusals.get("r1").outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
		assertThat(sim.prefillStarts()).hasSize(1);
		assertNoResourcesHeld(sim);
	}

	@Test
	void cancellationReleasesResourcesAtEveryStage() {
		// The caller disconnects while its request is queued, in prefill, ready for
		// transfer, in transfer or decoding. Slots and memory that are not released would
		// be unavailable to all other requests.
		for (long cancelAt : new long[] { 0, 100, 1200, 1210, 1290, 1400, 2500 }) {
			CellSimulation sim = cell(1, 1);
			sim.submit(sim.request("other", "a", 0, 3000), 5);
			sim.submit(sim.request("gone", "a", 0, 6000), 100);
			sim.runUntil(cancelAt);
			sim.deliver(new CellEvent.CallerGone("gone"));
			assertThat(sim.decoding.size() + sim.transferring.size() + sim.kvHeld.size() + sim.prefilling.size())
				.isLessThanOrEqualTo(1);
			sim.runUntil(20_000);
			assertThat(sim.completed).as("cancelled at %d ms", cancelAt).containsExactly("other");
			assertThat(sim.refusals).isEmpty();
			assertNoResourcesHeld(sim);
		}
	}

	@Test
	void eventsOfACancelledAttemptAreIgnored() {
		// The completion of a cancelled prefill arrives after the cancellation. If it
		// were attributed to the next attempt, a transfer of a KV cache that no longer
		// exists would start.
		CellSimulation sim = cell(1, 1);
		sim.submit(sim.request("r1", "a", 0, 6000), 10);
		sim.deliver(new CellEvent.CallerGone("r1"));
		int before = sim.actions.size();
		sim.deliver(new CellEvent.PrefillDone(1, 6000));
		sim.deliver(new CellEvent.TransferDone(1));
		sim.deliver(new CellEvent.Tokens(1, 1));
		sim.deliver(new CellEvent.DecodeDone(1));
		assertThat(sim.actions).hasSize(before);
	}

	@Test
	void drainingWorkerFinishesItsRequestsAndGetsNoNewOnes() {
		// An operator drains a worker. Requests on it must complete, and no new request
		// may be sent to it.
		CellSimulation sim = cell(2, 2);
		sim.submit(sim.request("r1", "a", 0, 6000), 100);
		sim.runUntil(2000);
		String worker = sim.decoding.values().iterator().next();
		sim.deliver(new CellEvent.WorkerLeaving(worker));
		sim.deliver(new CellEvent.WorkerLeaving("p1"));
		int before = sim.actions.size();
		for (int i = 0; i < 5; i++) {
			sim.submit(sim.request("n" + i, "a", 0, 5500), 10);
		}
		sim.runUntil(20_000);
		assertThat(sim.completed).contains("r1");
		sim.actions.subList(before, sim.actions.size()).forEach((a) -> {
			if (a instanceof CellAction.StartPrefill s) {
				assertThat(s.prefillWorkerId()).isNotEqualTo("p1");
			}
			if (a instanceof CellAction.StartTransfer s) {
				assertThat(s.decodeWorkerId()).isNotEqualTo(worker);
			}
		});
		assertNoResourcesHeld(sim);
	}

	@Test
	void crashingRequestIsQuarantinedAfterTwoCrashes() {
		// One request crashes every worker that decodes it, and its caller sends it
		// again. It must be refused after the second crash, and all other requests on the
		// crashed workers must complete.
		CellSimulation sim = cell(2, 3);
		for (int i = 0; i < 6; i++) {
			sim.submit(sim.request("n" + i, "a", 0, 5400), 60);
			sim.runUntil(sim.now + 500);
		}
		sim.crashingRequests.add("bad");
		ModelRequest bad = sim.request("bad", "a", 0, 5400);
		sim.submit(bad, 60);
		sim.runUntil(sim.now + 10_000);
		assertThat(sim.crashedWorkers).hasSize(2);
		assertThat(sim.refusals.get("bad").code()).isEqualTo(RefusalCode.QUARANTINED);
		assertThat(sim.completed).hasSize(6);
		ModelRequest again = sim.request("bad", "a", 0, 5400);
		sim.submit(again, 60);
		assertThat(sim.crashedWorkers).hasSize(2);
		assertThat(sim.refusals.get("bad").outcome()).isEqualTo(Outcome.NOT_RUN);
		assertNoResourcesHeld(sim);
	}

	// Guards against a request that crashes one worker after the other, as its caller
	// leaves shortly before.
	@Test
	void crashingRequestWhoseCallerLeavesIsQuarantinedAfterTwoCrashes() {
		CellSimulation sim = cell(2, 4);
		for (int i = 0; i < 2; i++) {
			sim.submit(sim.request("bad", "a", 0, 5400), 60);
			while (decodingWorker(sim).isEmpty()) {
				sim.runUntil(sim.now + 10);
			}
			String worker = decodingWorker(sim).orElseThrow();
			sim.deliver(new CellEvent.CallerGone("bad"));
			sim.runUntil(sim.now + 40);
			sim.crash(worker);
			sim.runUntil(sim.now + 1_000);
		}
		sim.submit(sim.request("bad", "a", 0, 5400), 60);
		assertThat(sim.refusals.get("bad").code()).isEqualTo(RefusalCode.QUARANTINED);
	}

	private static Optional<String> decodingWorker(CellSimulation sim) {
		return Stream.of("d1", "d2", "d3", "d4").filter((d) -> !sim.attemptsOn(d).isEmpty()).findFirst();
	}

	// Guards against suspecting a request whose caller left a worker that crashed for
	// another reason much later.
	@Test
	void callerThatLeftLongBeforeACrashIsNoSuspect() {
		CellSimulation sim = cell(2, 4);
		for (int i = 0; i < 3; i++) {
			sim.submit(sim.request("r", "a", 0, 5400), 60);
			while (decodingWorker(sim).isEmpty()) {
				sim.runUntil(sim.now + 10);
			}
			String worker = decodingWorker(sim).orElseThrow();
			sim.deliver(new CellEvent.CallerGone("r"));
			sim.runUntil(sim.now + 600);
			sim.crash(worker);
			sim.runUntil(sim.now + 1_000);
		}
		sim.submit(sim.request("r", "a", 0, 5400), 60);
		assertThat(sim.refusals).isEmpty();
	}

	@Test
	void suspectsRunOneAtATimePerWorker() {
		// A worker crashed with several requests on it. If two of them ran on the same
		// worker and that crashed too, the cause could not be identified.
		CellSimulation sim = cell(2, 3);
		for (int i = 0; i < 6; i++) {
			sim.submit(sim.request("n" + i, "a", 0, 5400), 300);
			sim.runUntil(sim.now + 400);
		}
		sim.runUntil(5000);
		sim.deliver(new CellEvent.WorkerLeaving("d2"));
		sim.deliver(new CellEvent.WorkerLeaving("d3"));
		sim.crash("d1");
		sim.deliver(new CellEvent.WorkerUp(CellSimulation.decodeWorker("d4", 20)));
		Map<Long, Long> decodingSince = new HashMap<>();
		int maxUncleared = 0;
		for (int i = 0; i < 400; i++) {
			sim.runUntil(sim.now + 10);
			Set<Long> attemptsOnNewWorker = sim.attemptsOn("d4");
			attemptsOnNewWorker.forEach((a) -> decodingSince.putIfAbsent(a, sim.now));
			long uncleared = attemptsOnNewWorker.stream()
				.filter((a) -> sim.now - decodingSince.get(a) < ISOLATION_MS)
				.count();
			maxUncleared = Math.max(maxUncleared, (int) uncleared);
		}
		assertThat(decodingSince).hasSizeGreaterThan(1);
		assertThat(maxUncleared).isEqualTo(1);
	}

	@Test
	void requestThatCrashesLateIsQuarantinedByTheThirdCrash() {
		// The request crashes its worker after the end of its isolation, each time its
		// caller sends it again. If the end of isolation erased its earlier crashes, each
		// resend would crash another worker.
		CellSimulation sim = cell(2, 8);
		sim.crashingRequests.add("bad");
		sim.crashAfterTokens = CellSettings.defaults().isolationTokens() + 10;
		for (int i = 0; i < 6 && !sim.refusals.containsKey("bad"); i++) {
			int before = sim.crashedWorkers.size();
			sim.submit(sim.request("bad", "a", 0, 5400), 100);
			sim.submit(sim.request("n" + i, "a", 0, 5400), 60);
			while (sim.crashedWorkers.size() == before && !sim.refusals.containsKey("bad") && sim.now < 120_000) {
				sim.runUntil(sim.now + 10);
			}
			sim.deliver(new CellEvent.CallerGone("bad"));
			sim.runUntil(sim.now + 1000);
		}
		assertThat(sim.refusals.get("bad").code()).isEqualTo(RefusalCode.QUARANTINED);
		assertThat(sim.crashedWorkers).hasSizeLessThanOrEqualTo(3);
	}

	@Test
	void resubmittedSuspectRemainsASuspect() {
		// The caller of a request that crashed a worker disconnects and sends it again.
		// If it were treated as a new request, it would share a worker with other
		// suspects and crash one more.
		CellSimulation sim = cell(2, 3);
		sim.crashingRequests.add("bad");
		sim.submit(sim.request("bad", "a", 0, 5400), 60);
		sim.submit(sim.request("n", "a", 0, 5400), 60);
		while (sim.crashedWorkers.isEmpty()) {
			sim.runUntil(sim.now + 10);
		}
		sim.deliver(new CellEvent.CallerGone("bad"));
		sim.submit(sim.request("bad", "a", 0, 5400), 60);
		sim.runUntil(sim.now + 10_000);
		assertThat(sim.crashedWorkers).hasSize(2);
		assertThat(sim.refusals.get("bad").code()).isEqualTo(RefusalCode.QUARANTINED);
	}

	@Test
	void newOwnerLimitsDecodeSlotsUntilTakeoverEnds() {
		// After a change of owner, two nodes may both consider themselves the owner of a
		// cell. The new owner must admit only a few requests per worker, so that both
		// together do not overcommit the memory of the engines.
		CellSimulation sim = cell(4, 2);
		sim.scheduler.handle(new CellEvent.TakeoverStarted(6000), 0, (a) -> {
		});
		Set<Integer> seen = new HashSet<>();
		for (int i = 0; i < 40; i++) {
			sim.submit(sim.request("r" + i, "a", 0, 5400), 100);
			sim.runUntil(sim.now + 100);
			seen.add(sim.decoding.size() + sim.transferring.size());
		}
		int bound = 2 * CellSettings.defaults().takeoverSlots();
		assertThat(seen).allSatisfy((n) -> assertThat(n).isLessThanOrEqualTo(bound));
		sim.scheduler.endTakeover();
		for (int i = 40; i < 70; i++) {
			sim.submit(sim.request("r" + i, "a", 0, 5400), 100);
			sim.runUntil(sim.now + 100);
		}
		assertThat(sim.decoding.size() + sim.transferring.size()).isGreaterThan(bound);
	}

}
