package io.shallotspur.pace;

import java.util.List;

import org.assertj.core.api.Assertions;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;

/**
 * Tests of what is learned of a worker's pace.
 */
class WorkerPaceTests {

	private static WorkerPace withAnswers(int count, double ms) {
		WorkerPace p = new WorkerPace();
		for (int i = 0; i < count; i++) {
			p.recordAnswer(ms * ((i % 2 == 0) ? 0.7 : 1.3), 1, 0, 6, i);
		}
		return p;
	}

	// Guards against a choice by paces where all are alike but for chance.
	@Test
	void workersThatAnswerAlikeAreEven() {
		Assertions.assertThat(PaceComparison.of(List.of()).isUneven()).isFalse();
		Assertions
			.assertThat(
					PaceComparison.of(List.of(withAnswers(40, 70), withAnswers(40, 80), new WorkerPace())).isUneven())
			.isFalse();
		Assertions.assertThat(PaceComparison.of(List.of(withAnswers(3, 70), withAnswers(3, 200))).isUneven()).isFalse();
	}

	@Test
	void learnsARelativePaceThatFadesWithoutAnswers() {
		WorkerPace slow = withAnswers(64, 140);
		PaceComparison all = PaceComparison.of(List.of(slow, withAnswers(64, 70), withAnswers(64, 70)));
		Assertions.assertThat(all.isUneven()).isTrue();
		Assertions.assertThat(all.relative(slow, 64)).isCloseTo(1.63, Offset.offset(0.05));
		Assertions.assertThat(all.relative(slow, 200_000)).isCloseTo(1, Offset.offset(0.01));
		Assertions.assertThat(all.relative(new WorkerPace(), 64)).isEqualTo(1);
	}

	// Guards against a worker being avoided, or chosen by all, for a moment long past.
	@Test
	void statementDecaysToTheMeanOfItsWorker() {
		WorkerPace p = new WorkerPace();
		Assertions.assertThat(p.slowdown(0)).isEqualTo(1);
		for (int t = 0; t < 60_000; t += 100) {
			p.recordStated((t % 200 == 0) ? 1 : 2, t);
		}
		p.recordStated(4, 60_000);
		Assertions.assertThat(p.slowdown(60_000)).isEqualTo(4);
		Assertions.assertThat(p.slowdown(70_000)).isBetween(1.45, 1.6);
		Assertions.assertThat(PaceComparison.of(List.of(p)).isUneven()).isTrue();
	}

	// Guards against a queue, or a neighbour, being learned as the worker's own pace.
	@Test
	void leavesOutTheQueueAndTheStatedSlowdown() {
		WorkerPace p = new WorkerPace();
		p.recordStated(2, 0);
		for (int i = 0; i < 20; i++) {
			p.recordAnswer(280, 1, 6, 6, 0);
		}
		Assertions.assertThat(p.learned().mean()).isCloseTo(70, Offset.offset(0.01));
	}

	@Test
	void learnsTheSlowingNearFull() {
		WorkerPace p = withAnswers(30, 70);
		for (int i = 0; i < 30; i++) {
			p.recordAnswer(140, 5, 0, 6, i);
		}
		Assertions.assertThat(p.fullFactor(6, 6)).isCloseTo(2, Offset.offset(0.05));
		Assertions.assertThat(p.fullFactor(2, 6)).isEqualTo(1);
	}

}
