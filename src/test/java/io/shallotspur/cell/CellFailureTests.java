package io.shallotspur.cell;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import io.shallotspur.outcome.Outcome;
import io.shallotspur.outcome.RefusalCode;

import static org.assertj.core.api.Assertions.assertThat;

class CellFailureTests {

	/**
	 * What a suspect needs to generate the tokens that clear it, but for one step.
	 */
	private static final long PROOF_MS = (CellSettings.defaults().suspectClearTokens() - 1) * 40L;

	private static CellDriver cell(int prefill, int decode) {
		return CellDriver.of(CellSettings.defaults(), prefill, decode, 20);
	}

	private static void assertNothingHeld(CellDriver d) {
		assertThat(d.idle()).isTrue();
		assertThat(d.scheduler.activeRequestCount()).isZero();
	}

	@Test
	void stalledTransferGoesToAnotherWorkerWithoutASecondPrefill() {
		// A link of a decode worker hangs while KV caches move to it. Callers would wait
		// without a first token until their deadline; instead the same KV cache is sent
		// elsewhere, and the worker is left alone for a while.
		CellDriver d = cell(1, 2);
		d.stalledWorkers.add("d1");
		d.stalledWorkers.add("d2");
		d.submit(d.request("r1", "a", 0, 6000), 20);
		d.runTo(1250);
		String first = d.transferring.values().iterator().next();
		d.stalledWorkers.remove(first.equals("d1") ? "d2" : "d1");
		d.runTo(20_000);
		assertThat(d.completed).containsExactly("r1");
		assertThat(d.computed.get("r1")).isEqualTo(6000);
		assertThat(d.actions).anyMatch((a) -> a instanceof CellAction.CancelTransfer);
		assertThat(d.firstTokenAt.get("r1")).isLessThanOrEqualTo(2000);
		assertNothingHeld(d);
	}

	@Test
	void lostDecodeWorkerCostsNoTokensTheCallerHas() {
		// A decode worker dies in the middle of an answer. The caller sees a pause, and
		// the rest of the answer follows from another worker, with no token twice.
		CellDriver d = cell(2, 2);
		d.submit(d.request("r1", "a", 0, 6000), 100);
		d.runTo(3000);
		String worker = d.decoding.values().iterator().next();
		d.crash(worker);
		d.runTo(20_000);
		assertThat(d.completed).containsExactly("r1");
		List<CellAction.StartPrefill> starts = d.starts();
		assertThat(starts).hasSize(2);
		assertThat(starts.get(1).deliveredTokens()).isPositive();
		assertThat(starts.get(1).decodeWorkerId()).isNotEqualTo(worker);
		assertNothingHeld(d);
	}

	@Test
	void lostDecodeWorkerLeavesTheKvCacheOfATransferUsable() {
		// The worker dies while a KV cache moves to it. The cache still lies at the
		// prefill worker, so it is sent elsewhere instead of being computed again.
		CellDriver d = cell(1, 2);
		d.submit(d.request("r1", "a", 0, 6000), 20);
		d.runTo(1250);
		d.crash(d.transferring.values().iterator().next());
		d.runTo(20_000);
		assertThat(d.completed).containsExactly("r1");
		assertThat(d.starts()).hasSize(1);
		assertNothingHeld(d);
	}

	@Test
	void lostPrefillWorkerIsReplaced() {
		// The prefill worker dies while it reads the prompt. The prompt is read again by
		// another one; the caller only waits longer.
		CellDriver d = cell(2, 1);
		d.submit(d.request("r1", "a", 0, 4000), 20);
		d.runTo(300);
		String worker = d.prefilling.values().iterator().next();
		d.crash(worker);
		d.runTo(20_000);
		assertThat(d.completed).containsExactly("r1");
		assertThat(d.starts().get(1).prefillWorkerId()).isNotEqualTo(worker);
		assertNothingHeld(d);
	}

	@Test
	void lostRequestThatMayNotBeRepeatedEndsAsUnknown() {
		// The worker dies while it runs a request that may run once at most. The caller
		// is told that nobody knows, and it is not run again.
		CellDriver d = cell(1, 2);
		ModelRequest r = d.request("r1", "a", 0, 6000);
		d.submit(new ModelRequest("r1", "a", "c", r.promptTokens(), r.prefixBlocks(), 0, 1, 2000, 53, 0, 15_000, false,
				7), 100);
		d.runTo(3000);
		d.crash(d.decoding.values().iterator().next());
		d.runTo(20_000);
		assertThat(d.refused.get("r1").outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
		assertThat(d.starts()).hasSize(1);
		assertNothingHeld(d);
	}

	@Test
	void nothingStaysHeldForACallerWhoLeftAtAnyStage() {
		// The caller closes the connection while its request waits, is read, waits for a
		// transfer, is moved or is generated. Memory that stayed held would be lost to
		// all others.
		for (long leaveAt : new long[] { 0, 100, 1200, 1210, 1290, 1400, 2500 }) {
			CellDriver d = cell(1, 1);
			d.submit(d.request("other", "a", 0, 3000), 5);
			d.submit(d.request("gone", "a", 0, 6000), 100);
			d.runTo(leaveAt);
			d.event(new CellEvent.CallerGone("gone"));
			assertThat(d.decoding.size() + d.transferring.size() + d.kv.size() + d.prefilling.size())
				.isLessThanOrEqualTo(1);
			d.runTo(20_000);
			assertThat(d.completed).as("left at %d", leaveAt).containsExactly("other");
			assertThat(d.refused).isEmpty();
			assertNothingHeld(d);
		}
	}

	@Test
	void lateAnswersOfAnAttemptThatWasGivenUpAreDropped() {
		// The finish of a cancelled prefill arrives after the cancellation. Taken for
		// that of the next attempt it would start a transfer of a KV cache that is gone.
		CellDriver d = cell(1, 1);
		d.submit(d.request("r1", "a", 0, 6000), 10);
		d.event(new CellEvent.CallerGone("r1"));
		int before = d.actions.size();
		d.event(new CellEvent.PrefillDone(1, 6000));
		d.event(new CellEvent.TransferDone(1));
		d.event(new CellEvent.Tokens(1, 1));
		d.event(new CellEvent.DecodeDone(1));
		assertThat(d.actions).hasSize(before);
	}

	@Test
	void leavingWorkerGetsNothingNewAndFinishesWhatItHas() {
		// An operator drains a worker. Whoever is on it gets the whole answer; nobody new
		// is sent there.
		CellDriver d = cell(2, 2);
		d.submit(d.request("r1", "a", 0, 6000), 100);
		d.runTo(2000);
		String worker = d.decoding.values().iterator().next();
		d.event(new CellEvent.WorkerLeaving(worker));
		d.event(new CellEvent.WorkerLeaving("p1"));
		int before = d.actions.size();
		for (int i = 0; i < 5; i++) {
			d.submit(d.request("n" + i, "a", 0, 5500), 10);
		}
		d.runTo(20_000);
		assertThat(d.completed).contains("r1");
		d.actions.subList(before, d.actions.size()).forEach((a) -> {
			if (a instanceof CellAction.StartPrefill s) {
				assertThat(s.prefillWorkerId()).isNotEqualTo("p1");
			}
			if (a instanceof CellAction.StartTransfer s) {
				assertThat(s.decodeWorkerId()).isNotEqualTo(worker);
			}
		});
		assertNothingHeld(d);
	}

	@Test
	void requestThatCrashesItsWorkerCostsTwoWorkersAtMostAndNoNeighbour() {
		// One request kills every worker that decodes it, and its caller sends it again.
		// Its neighbours see a pause; it is refused after the second crash.
		CellDriver d = cell(2, 3);
		for (int i = 0; i < 6; i++) {
			d.submit(d.request("n" + i, "a", 0, 5400), 60);
			d.runTo(d.now + 500);
		}
		d.poison.add("bad");
		ModelRequest bad = d.request("bad", "a", 0, 5400);
		d.submit(bad, 60);
		d.runTo(d.now + 10_000);
		assertThat(d.crashed).hasSize(2);
		assertThat(d.refused.get("bad").code()).isEqualTo(RefusalCode.QUARANTINED);
		assertThat(d.completed).hasSize(6);
		ModelRequest again = d.request("bad", "a", 0, 5400);
		d.submit(again, 60);
		assertThat(d.crashed).hasSize(2);
		assertThat(d.refused.get("bad").outcome()).isEqualTo(Outcome.NOT_RUN);
		assertNothingHeld(d);
	}

	@Test
	void suspectsAreKeptApart() {
		// A worker died with several requests on it. If two of them met on the next
		// worker and it died too, nobody could tell which of them did it.
		CellDriver d = cell(2, 3);
		for (int i = 0; i < 6; i++) {
			d.submit(d.request("n" + i, "a", 0, 5400), 300);
			d.runTo(d.now + 400);
		}
		d.runTo(5000);
		d.event(new CellEvent.WorkerLeaving("d2"));
		d.event(new CellEvent.WorkerLeaving("d3"));
		d.crash("d1");
		d.event(new CellEvent.WorkerUp(CellDriver.decodeWorker("d4", 20)));
		Map<Long, Long> since = new HashMap<>();
		int most = 0;
		for (int i = 0; i < 400; i++) {
			d.runTo(d.now + 10);
			Set<Long> onNew = d.attemptsOn("d4");
			onNew.forEach((a) -> since.putIfAbsent(a, d.now));
			long unproven = onNew.stream().filter((a) -> d.now - since.get(a) < PROOF_MS).count();
			most = Math.max(most, (int) unproven);
		}
		assertThat(since).hasSizeGreaterThan(1);
		assertThat(most).isEqualTo(1);
	}

	@Test
	void aRequestThatCrashesLateIsConvictedAtTheThirdCrash() {
		// The request runs past the point at which suspects are taken for harmless, and
		// crashes its worker each time its caller sends it again. Were it cleared on the
		// way, each resend would cost one more worker.
		CellDriver d = cell(2, 8);
		d.poison.add("bad");
		d.poisonAfter = CellSettings.defaults().suspectClearTokens() + 10;
		for (int i = 0; i < 6 && !d.refused.containsKey("bad"); i++) {
			int before = d.crashed.size();
			d.submit(d.request("bad", "a", 0, 5400), 100);
			d.submit(d.request("n" + i, "a", 0, 5400), 60);
			while (d.crashed.size() == before && !d.refused.containsKey("bad") && d.now < 120_000) {
				d.runTo(d.now + 10);
			}
			d.event(new CellEvent.CallerGone("bad"));
			d.runTo(d.now + 1000);
		}
		assertThat(d.refused.get("bad").code()).isEqualTo(RefusalCode.QUARANTINED);
		assertThat(d.crashed).hasSizeLessThanOrEqualTo(3);
	}

	@Test
	void resendOfASuspectIsASuspectToo() {
		// The caller of a request that crashed a worker gives up and sends it again.
		// Taken for a fresh request it would share a worker with others and crash one
		// more.
		CellDriver d = cell(2, 3);
		d.poison.add("bad");
		d.submit(d.request("bad", "a", 0, 5400), 60);
		d.submit(d.request("n", "a", 0, 5400), 60);
		while (d.crashed.isEmpty()) {
			d.runTo(d.now + 10);
		}
		d.event(new CellEvent.CallerGone("bad"));
		d.submit(d.request("bad", "a", 0, 5400), 60);
		d.runTo(d.now + 10_000);
		assertThat(d.crashed).hasSize(2);
		assertThat(d.refused.get("bad").code()).isEqualTo(RefusalCode.QUARANTINED);
	}

	@Test
	void newOwnerStaysBelowItsBoundUntilTheFormerOneHasLeft() {
		// Two nodes may both believe that they own a cell. The new one admits a few
		// requests per worker only, so that the engines' memory is not promised twice.
		CellDriver d = cell(4, 2);
		d.scheduler.handle(new CellEvent.TakeoverStarted(6000), 0, (a) -> {
		});
		Set<Integer> seen = new HashSet<>();
		for (int i = 0; i < 40; i++) {
			d.submit(d.request("r" + i, "a", 0, 5400), 100);
			d.runTo(d.now + 100);
			seen.add(d.decoding.size() + d.transferring.size());
		}
		int bound = 2 * CellSettings.defaults().takeoverSlots();
		assertThat(seen).allSatisfy((n) -> assertThat(n).isLessThanOrEqualTo(bound));
		d.scheduler.endTakeover();
		for (int i = 40; i < 70; i++) {
			d.submit(d.request("r" + i, "a", 0, 5400), 100);
			d.runTo(d.now + 100);
		}
		assertThat(d.decoding.size() + d.transferring.size()).isGreaterThan(bound);
	}

}
