package io.shallotspur.stage;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link StagePlanner}, with the loads it answers.
 */
class StagePlannerTests {

	// 42,411 tokens of memory, prompts of 3,200 tokens, answers of 830 in 3.5 s.
	private static final ThroughputModel LONG_ANSWERS = new ThroughputModel(103, 3_600, 10);

	// Prefill takes half again as long, and decode workers are many.
	private static final ThroughputModel SLOW_PREFILL = new ThroughputModel(157, 3_650, 9);

	private static final ThroughputModel SHORT_ANSWERS = new ThroughputModel(400, 200, 10);

	private static int split(int prefill, int decode, ThroughputModel load) {
		return StagePlanner.prefillWorkers(prefill, decode, load, StagePlanner.gain(64));
	}

	// Long answers fill the memory of three decode workers while three prefill workers
	// are a quarter busy. Callers wait for seconds and are refused.
	@Test
	void givesIdlePrefillWorkersToDecode() {
		Assertions.assertThat(split(3, 3, LONG_ANSWERS)).isEqualTo(2);
		Assertions.assertThat(LONG_ANSWERS.perSecond(2, 4)).isGreaterThan(1.3 * LONG_ANSWERS.perSecond(3, 3));
	}

	@Test
	void leavesWorkersWhereBothStagesAreBusy() {
		Assertions.assertThat(split(3, 5, SLOW_PREFILL)).isEqualTo(3);
		Assertions.assertThat(split(2, 4, LONG_ANSWERS)).isEqualTo(2);
	}

	@Test
	void sharesOutAFleet() {
		ThroughputModel load = new ThroughputModel(157, 3_650, 6);
		int p = split(24, 39, load);
		Assertions.assertThat(p).isBetween(13, 17);
		Assertions.assertThat(load.perSecond(p, 63 - p)).isGreaterThan(1.2 * load.perSecond(24, 39));
	}

	@Test
	void givesDecodeWorkersToPrefillWhenAnswersAreShort() {
		Assertions.assertThat(split(1, 5, SHORT_ANSWERS)).isGreaterThan(2);
	}

	// A fleet has a third of its workers prefill where a quarter would do. Callers wait
	// for decode workers for as long as the change is thought to bring too little.
	@Test
	void aLoadThatIsKnownWellIsEnoughForAChangeThatBringsATenth() {
		ThroughputModel load = new ThroughputModel(157, 3_400, 6.5);
		int p = split(13, 23, load);
		Assertions.assertThat(p).isBetween(9, 11);
		Assertions.assertThat(load.perSecond(p, 36 - p)).isGreaterThan(1.1 * load.perSecond(13, 23));
	}

	// Three requests say roughly what the load is. Where three of six workers prefill and
	// hardly any has work, that is enough; where a change would bring a third, it may as
	// well bring nothing.
	@Test
	void fewRequestsAreEnoughForAChangeThatBringsMuch() {
		ThroughputModel quickPrefill = new ThroughputModel(94, 3_500, 8);
		Assertions.assertThat(StagePlanner.prefillWorkers(3, 3, quickPrefill, StagePlanner.gain(3))).isEqualTo(1);
		Assertions.assertThat(StagePlanner.prefillWorkers(3, 3, LONG_ANSWERS, StagePlanner.gain(3))).isEqualTo(3);
		Assertions.assertThat(StagePlanner.prefillWorkers(3, 3, LONG_ANSWERS, StagePlanner.gain(6))).isEqualTo(2);
	}

	@Property(tries = 2_000, seed = "20")
	void keepsOneOfEachAndNeverBearsLess(@ForAll @IntRange(min = 1, max = 80) int prefill,
			@ForAll @IntRange(min = 1, max = 80) int decode,
			@ForAll @DoubleRange(min = 1, max = 3_000) double prefillMs,
			@ForAll @DoubleRange(min = 50, max = 60_000) double decodeMs,
			@ForAll @DoubleRange(min = 0.5, max = 64) double places) {
		ThroughputModel load = new ThroughputModel(prefillMs, decodeMs, places);
		int p = split(prefill, decode, load);
		Assertions.assertThat(p).isBetween(1, prefill + decode - 1);
		if (p != prefill) {
			Assertions.assertThat(load.perSecond(p, prefill + decode - p))
				.isGreaterThanOrEqualTo((1 + StagePlanner.gain(64)) * load.perSecond(prefill, decode) * 0.999);
		}
	}

	// A share that was just chosen must not be changed back by the next look.
	@Property(tries = 2_000, seed = "21")
	void doesNotGoBackAndForth(@ForAll @IntRange(min = 1, max = 60) int prefill,
			@ForAll @IntRange(min = 1, max = 60) int decode,
			@ForAll @DoubleRange(min = 10, max = 2_000) double prefillMs,
			@ForAll @DoubleRange(min = 50, max = 60_000) double decodeMs,
			@ForAll @DoubleRange(min = 1, max = 64) double places) {
		ThroughputModel load = new ThroughputModel(prefillMs, decodeMs, places);
		int all = prefill + decode;
		int first = split(prefill, decode, load);
		int second = split(first, all - first, load);
		int third = split(second, all - second, load);
		Assertions.assertThat(Integer.signum(second - first) * Integer.signum(third - second)).isNotNegative();
	}

}
