package io.shallotspur.quarantine;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CrashSuspectsTests {

	private static final long POISON = 666;

	private final CrashSuspects suspects = new CrashSuspects();

	@Test
	void secondCrashQuarantinesOnlyThePoisonRequest() {
		// A request crashes its worker, is retried on another one and crashes that too.
		// It is quarantined; the requests that shared the workers are at most retried.
		assertThat(this.suspects.recordCrash("w1", List.of(1L, POISON, 2L), 1_000)).isEmpty();
		assertThat(this.suspects.isSuspect(1, 1_000)).isTrue();
		assertThat(this.suspects.recordCrash("w2", List.of(3L, POISON), 2_000)).containsExactly(POISON);
		assertThat(this.suspects.isQuarantined(POISON, 2_000)).isTrue();
		assertThat(List.of(1L, 2L, 3L)).noneMatch((fingerprint) -> this.suspects.isQuarantined(fingerprint, 2_000));
		assertThat(this.suspects.isSuspect(3, 2_000)).isTrue();
	}

	@Test
	void completionClearsSuspect() {
		this.suspects.recordCrash("w1", List.of(1L, POISON), 0);
		this.suspects.recordCompletion(1, 100);
		assertThat(this.suspects.isSuspect(1, 100)).isFalse();
		assertThat(this.suspects.recordCrash("w2", List.of(1L, POISON), 5_000)).containsExactly(POISON);
	}

	@Test
	void suspectsOnTheSameWorkerAreNotQuarantined() {
		// Two nodes that have not exchanged their suspects yet place them on one worker.
		// Quarantining both would refuse an innocent request for an hour.
		this.suspects.recordCrash("w1", List.of(1L, POISON), 0);
		assertThat(this.suspects.recordCrash("w2", List.of(1L, POISON), 5_000)).isEmpty();
		assertThat(this.suspects.recordCrash("w3", List.of(POISON), 9_000)).containsExactly(POISON);
		assertThat(this.suspects.isQuarantined(1, 9_000)).isFalse();
	}

	@Test
	void suspectsWithProgressDoNotHideThePoisonRequest() {
		// After the first crash, the other requests continue to generate long responses
		// and share a worker with the poison request again. If they weighed as much as
		// the poison request, none would be quarantined and further workers would crash.
		this.suspects.recordCrash("w1", List.of(1L, 2L, POISON), 0);
		this.suspects.recordProgress(1, 1_000);
		this.suspects.recordProgress(2, 1_000);
		assertThat(this.suspects.recordCrash("w2", List.of(1L, 2L, POISON), 5_000)).containsExactly(POISON);
		assertThat(this.suspects.isQuarantined(1, 5_000)).isFalse();
	}

	@Test
	void requestThatCrashesLateIsQuarantinedAtItsThirdCrash() {
		// Each time, the request runs long enough to be recorded as making progress, and
		// its caller resends it as a new request.
		for (int i = 0; i < 2; i++) {
			assertThat(this.suspects.recordCrash("w" + i, List.of(POISON, 10L + i), i * 9_000L)).isEmpty();
			this.suspects.recordProgress(POISON, i * 9_000L + 1_000);
			this.suspects.recordCompletion(10L + i, i * 9_000L + 2_000);
		}
		assertThat(this.suspects.recordCrash("w3", List.of(POISON, 30L), 18_000)).containsExactly(POISON);
	}

	@Test
	void suspectWithProgressIsNotQuarantinedForAnotherRequest() {
		this.suspects.recordCrash("w1", List.of(1L, 99L), 0);
		this.suspects.recordProgress(1, 1_000);
		assertThat(this.suspects.recordCrash("w2", List.of(1L, POISON), 5_000)).isEmpty();
		assertThat(this.suspects.recordCrash("w3", List.of(POISON), 9_000)).containsExactly(POISON);
	}

	@Test
	void crashDetectedByTwoNodesCountsOnce() {
		// Two entry VMs share a plain worker and both detect its crash. If it counted as
		// two crashes, every request on the worker would be quarantined.
		CrashSuspects peer = new CrashSuspects();
		peer.recordCrash("w1", List.of(1L), 1_000);
		this.suspects.merge(peer.drainChanges(1_000), 1_050);
		assertThat(this.suspects.recordCrash("w1", List.of(1L), 1_100)).isEmpty();
		assertThat(peer.merge(this.suspects.drainChanges(1_100), 1_200)).isEmpty();
		assertThat(peer.entries(1_200)).hasSize(1).allMatch((e) -> e.crashes().size() == 1);
	}

	@Test
	void twoCrashesOfAWorkerInQuickSuccessionCountTwice() {
		this.suspects.recordCrash("w1", List.of(POISON, 1L), 1_000);
		assertThat(this.suspects.recordCrash("w1", List.of(POISON), 1_500)).containsExactly(POISON);
	}

	@Test
	void requestResentThroughAnotherNodeIsQuarantinedAtItsSecondCrash() {
		CrashSuspects peer = new CrashSuspects();
		peer.recordCrash("w1", List.of(1L, POISON), 1_000);
		this.suspects.merge(peer.drainChanges(1_000), 1_010);
		assertThat(this.suspects.isSuspect(POISON, 1_010)).isTrue();
		assertThat(this.suspects.recordCrash("w2", List.of(2L, POISON), 4_000)).containsExactly(POISON);
		assertThat(peer.merge(this.suspects.drainChanges(4_000), 4_010)).containsExactly(POISON);
		assertThat(this.suspects.drainChanges(4_020)).isEmpty();
	}

	@Test
	void crashesDetectedByDifferentNodesQuarantineAfterMerge() {
		// The caller sent the request to two nodes concurrently, and each lost a worker
		// before it received the suspects of the other.
		CrashSuspects peer = new CrashSuspects();
		peer.recordCrash("w1", List.of(1L, POISON), 1_000);
		this.suspects.recordCrash("w2", List.of(2L, POISON), 1_010);
		assertThat(this.suspects.merge(peer.drainChanges(1_010), 1_020)).containsExactly(POISON);
		assertThat(peer.merge(this.suspects.drainChanges(1_020), 1_030)).containsExactly(POISON);
	}

	@Test
	void staleEntryDoesNotRevertClearedSuspect() {
		this.suspects.recordCrash("w1", List.of(1L), 0);
		List<SuspectEntry> stale = this.suspects.drainChanges(0);
		this.suspects.recordCompletion(1, 10);
		this.suspects.merge(stale, 20);
		assertThat(this.suspects.isSuspect(1, 20)).isFalse();
	}

	// Guards against refusing a request that ran on a rack that lost power three times.
	@Test
	void coincidingCrashesHaveACommonCause() {
		CrashSuspects shared = new CrashSuspects(QuarantineLimits.SHARED_WORKERS);
		for (int i = 0; i < 5; i++) {
			shared.recordCrash("a" + i, List.of(1L), i * 10_000L);
			shared.recordCrash("b" + i, List.of(100L + i), i * 10_000L + 40);
			assertThat(shared.isQuarantined(1, i * 10_000L + 40)).isFalse();
		}
	}

	@Test
	void thirdCrashQuarantinesAmongRequestsThatWereAtFewer() {
		CrashSuspects shared = new CrashSuspects(QuarantineLimits.SHARED_WORKERS);
		assertThat(shared.recordCrash("w1", List.of(POISON, 1L, 2L), 0)).isEmpty();
		assertThat(shared.recordCrash("w2", List.of(POISON, 1L, 3L), 2_000)).isEmpty();
		assertThat(shared.recordCrash("w3", List.of(POISON, 3L, 4L), 2_300)).containsExactly(POISON);
	}

	// Guards against refusing a request that ran three times beside ones that are known
	// to crash workers.
	@Test
	void crashesOfQuarantinedRequestsAreExplained() {
		CrashSuspects shared = new CrashSuspects(QuarantineLimits.SHARED_WORKERS);
		for (int i = 0; i < 3; i++) {
			shared.recordCrash("w" + i, List.of(POISON), i * 2_000L);
		}
		for (int i = 3; i < 6; i++) {
			assertThat(shared.recordCrash("w" + i, List.of(POISON, 1L), i * 2_000L)).isEmpty();
		}
	}

	// Guards against refusing a request for crashes of one that has been found since.
	@Test
	void crashesBesideAQuarantinedRequestDoNotCount() {
		CrashSuspects shared = new CrashSuspects(QuarantineLimits.SHARED_WORKERS);
		shared.recordCrash("w0", List.of(POISON), 0);
		shared.recordCrash("w1", List.of(POISON, 1L), 2_000);
		shared.recordCrash("w2", List.of(POISON, 1L), 4_000);
		assertThat(shared.isQuarantined(POISON, 4_000)).isTrue();
		assertThat(shared.recordCrash("w3", List.of(1L), 6_000)).isEmpty();
		shared.recordCrash("w4", List.of(1L), 8_000);
		assertThat(shared.recordCrash("w5", List.of(1L), 10_000)).containsExactly(1L);
	}

	// Guards against two requests that hide behind each other as they always meet.
	@Test
	void sixthCrashQuarantinesInAnyCase() {
		CrashSuspects shared = new CrashSuspects(QuarantineLimits.SHARED_WORKERS);
		for (int i = 1; i < 6; i++) {
			assertThat(shared.recordCrash("w" + i, List.of(POISON, POISON + 1), i * 2_000L)).isEmpty();
		}
		assertThat(shared.recordCrash("w6", List.of(POISON, POISON + 1), 12_000)).containsExactly(POISON, POISON + 1);
	}

	// Guards against counting a crash once for each VM whose requests it broke off.
	@Test
	void aWorkerInstanceCrashesOnce() {
		CrashSuspects shared = new CrashSuspects(QuarantineLimits.SHARED_WORKERS);
		CrashSuspects peer = new CrashSuspects(QuarantineLimits.SHARED_WORKERS);
		for (int i = 0; i < 2; i++) {
			shared.recordCrash("w" + i, List.of(POISON), i * 10_000L);
			peer.recordCrash("w" + i, List.of(POISON), i * 10_000L + 4_000);
		}
		assertThat(shared.merge(peer.drainChanges(20_000), 20_000)).isEmpty();
		assertThat(shared.entries(20_000)).singleElement().matches((e) -> e.crashes().size() == 2);
	}

	@Test
	void tableIsBoundedInMemoryAndTime() {
		CrashSuspects bounded = new CrashSuspects(new QuarantineLimits(10, 1_000, 5_000, 10));
		bounded.recordCrash("w1", List.of(POISON), 0);
		bounded.recordCrash("w2", List.of(POISON), 100);
		for (long i = 0; i < 100; i++) {
			bounded.recordCrash("w" + i, List.of(1_000 + i), 200 + i);
		}
		assertThat(bounded.entries(300)).hasSize(10);
		assertThat(bounded.isQuarantined(POISON, 300)).isTrue();
		assertThat(bounded.entries(1_400)).extracting(SuspectEntry::fingerprint).containsExactly(POISON);
		assertThat(bounded.isQuarantined(POISON, 5_099)).isTrue();
		assertThat(bounded.isQuarantined(POISON, 5_100)).isFalse();
		assertThat(Set.copyOf(bounded.entries(5_100))).isEmpty();
	}

}
