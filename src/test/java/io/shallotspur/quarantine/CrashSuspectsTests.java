package io.shallotspur.quarantine;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CrashSuspectsTests {

	private static final long POISON = 666;

	private final CrashSuspects suspects = new CrashSuspects();

	@Test
	void secondCrashConvictsTheSuspectAndNoNeighbour() {
		// A request kills its engine, is retried elsewhere and kills that one too. Its
		// caller is refused; those who shared the engines notice a retry at most.
		assertThat(this.suspects.recordCrash("w1", List.of(1L, POISON, 2L), 1_000)).isEmpty();
		assertThat(this.suspects.isSuspect(1, 1_000)).isTrue();
		assertThat(this.suspects.recordCrash("w2", List.of(3L, POISON), 2_000)).containsExactly(POISON);
		assertThat(this.suspects.isQuarantined(POISON, 2_000)).isTrue();
		assertThat(List.of(1L, 2L, 3L)).noneMatch((fp) -> this.suspects.isQuarantined(fp, 2_000));
		assertThat(this.suspects.isSuspect(3, 2_000)).isTrue();
	}

	@Test
	void completionClears() {
		this.suspects.recordCrash("w1", List.of(1L, POISON), 0);
		this.suspects.recordCompletion(1, 100);
		assertThat(this.suspects.isSuspect(1, 100)).isFalse();
		assertThat(this.suspects.recordCrash("w2", List.of(1L, POISON), 5_000)).containsExactly(POISON);
	}

	@Test
	void twoSuspectsThatMeetAreNotConvicted() {
		// Two nodes that have not told each other yet put two suspects on one worker.
		// Convicting both would refuse an innocent caller for an hour.
		this.suspects.recordCrash("w1", List.of(1L, POISON), 0);
		assertThat(this.suspects.recordCrash("w2", List.of(1L, POISON), 5_000)).isEmpty();
		assertThat(this.suspects.recordCrash("w3", List.of(POISON), 9_000)).containsExactly(POISON);
		assertThat(this.suspects.isQuarantined(1, 9_000)).isFalse();
	}

	@Test
	void neighboursThatRanOnDoNotHideTheCause() {
		// After the first crash the neighbours run on for long answers and share a worker
		// with the poison again. Did they count as much, nobody would be convicted and
		// worker after worker would be lost.
		this.suspects.recordCrash("w1", List.of(1L, 2L, POISON), 0);
		this.suspects.recordProgress(1, 1_000);
		this.suspects.recordProgress(2, 1_000);
		assertThat(this.suspects.recordCrash("w2", List.of(1L, 2L, POISON), 5_000)).containsExactly(POISON);
		assertThat(this.suspects.isQuarantined(1, 5_000)).isFalse();
	}

	@Test
	void requestThatCrashesLateIsConvictedAtItsThirdCrash() {
		// It runs on for longer each time than is taken for a proof, and its caller sends
		// it again as a new request.
		for (int i = 0; i < 2; i++) {
			assertThat(this.suspects.recordCrash("w" + i, List.of(POISON, 10L + i), i * 9_000L)).isEmpty();
			this.suspects.recordProgress(POISON, i * 9_000L + 1_000);
			this.suspects.recordCompletion(10L + i, i * 9_000L + 2_000);
		}
		assertThat(this.suspects.recordCrash("w3", List.of(POISON, 30L), 18_000)).containsExactly(POISON);
	}

	@Test
	void neighbourThatRanOnIsNotConvictedForAnother() {
		this.suspects.recordCrash("w1", List.of(1L, 99L), 0);
		this.suspects.recordProgress(1, 1_000);
		assertThat(this.suspects.recordCrash("w2", List.of(1L, POISON), 5_000)).isEmpty();
		assertThat(this.suspects.recordCrash("w3", List.of(POISON), 9_000)).containsExactly(POISON);
	}

	@Test
	void oneCrashNoticedByTwoNodesCountsOnce() {
		// Two entry VMs share a plain worker and each notices its crash. If that counted
		// as two crashes, all callers of the worker would be refused.
		CrashSuspects peer = new CrashSuspects();
		peer.recordCrash("w1", List.of(1L), 1_000);
		this.suspects.merge(peer.drainChanges(1_000), 1_050);
		assertThat(this.suspects.recordCrash("w1", List.of(1L), 1_100)).isEmpty();
		assertThat(peer.merge(this.suspects.drainChanges(1_100), 1_200)).isEmpty();
		assertThat(peer.entries(1_200)).hasSize(1).allMatch((e) -> e.crashes().size() == 1);
	}

	@Test
	void workerThatCrashesTwiceAtOnceCountsTwice() {
		this.suspects.recordCrash("w1", List.of(POISON, 1L), 1_000);
		assertThat(this.suspects.recordCrash("w1", List.of(POISON), 1_500)).containsExactly(POISON);
	}

	@Test
	void resendThroughAnotherNodeIsConvictedAtItsSecondCrash() {
		CrashSuspects peer = new CrashSuspects();
		peer.recordCrash("w1", List.of(1L, POISON), 1_000);
		this.suspects.merge(peer.drainChanges(1_000), 1_010);
		assertThat(this.suspects.isSuspect(POISON, 1_010)).isTrue();
		assertThat(this.suspects.recordCrash("w2", List.of(2L, POISON), 4_000)).containsExactly(POISON);
		assertThat(peer.merge(this.suspects.drainChanges(4_000), 4_010)).containsExactly(POISON);
		assertThat(this.suspects.drainChanges(4_020)).isEmpty();
	}

	@Test
	void crashesSeenApartConvictWhenTold() {
		// The caller sent the request to two nodes at once and each lost a worker before
		// it heard of the other.
		CrashSuspects peer = new CrashSuspects();
		peer.recordCrash("w1", List.of(1L, POISON), 1_000);
		this.suspects.recordCrash("w2", List.of(2L, POISON), 1_010);
		assertThat(this.suspects.merge(peer.drainChanges(1_010), 1_020)).containsExactly(POISON);
		assertThat(peer.merge(this.suspects.drainChanges(1_020), 1_030)).containsExactly(POISON);
	}

	@Test
	void clearedStaysClearedWhenAnOldEntryComesLate() {
		this.suspects.recordCrash("w1", List.of(1L), 0);
		List<SuspectEntry> old = this.suspects.drainChanges(0);
		this.suspects.recordCompletion(1, 10);
		this.suspects.merge(old, 20);
		assertThat(this.suspects.isSuspect(1, 20)).isFalse();
	}

	@Test
	void tableIsBoundedInMemoryAndTime() {
		CrashSuspects s = new CrashSuspects(new QuarantineLimits(10, 1_000, 5_000, 10));
		s.recordCrash("w1", List.of(POISON), 0);
		s.recordCrash("w2", List.of(POISON), 100);
		for (long i = 0; i < 100; i++) {
			s.recordCrash("w" + i, List.of(1_000 + i), 200 + i);
		}
		assertThat(s.entries(300)).hasSize(10);
		assertThat(s.isQuarantined(POISON, 300)).isTrue();
		assertThat(s.entries(1_400)).extracting(SuspectEntry::fingerprint).containsExactly(POISON);
		assertThat(s.isQuarantined(POISON, 5_099)).isTrue();
		assertThat(s.isQuarantined(POISON, 5_100)).isFalse();
		assertThat(Set.copyOf(s.entries(5_100))).isEmpty();
	}

}
