package io.shallotspur.stage;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link StagePlanner} with typical loads.
 */
class StagePlannerTests {

	// Decode workers have KV cache memory for 42,411 tokens. Requests have prompts of
	// 3,200 tokens and responses of 830 tokens, which take 3.5 s to generate.
	private static final ThroughputModel LONG_RESPONSES = new ThroughputModel(103, 3_600, 10);

	// Prefill takes 50 % longer than in LONG_RESPONSES; used with many decode workers.
	private static final ThroughputModel SLOW_PREFILL = new ThroughputModel(157, 3_650, 9);

	private static final ThroughputModel SHORT_RESPONSES = new ThroughputModel(400, 200, 10);

	private static int planPrefillWorkers(int prefill, int decode, ThroughputModel throughput) {
		return StagePlanner.prefillWorkers(prefill, decode, throughput, StagePlanner.requiredGain(64));
	}

	// Long responses fill the memory of three decode workers while three prefill workers
	// are 25 % utilized. Requests wait for seconds and are rejected.
	@Test
	void movesIdlePrefillWorkersToDecode() {
		Assertions.assertThat(planPrefillWorkers(3, 3, LONG_RESPONSES)).isEqualTo(2);
		Assertions.assertThat(LONG_RESPONSES.requestsPerSecond(2, 4))
			.isGreaterThan(1.3 * LONG_RESPONSES.requestsPerSecond(3, 3));
	}

	@Test
	void keepsSplitWhenBothStagesAreBusy() {
		Assertions.assertThat(planPrefillWorkers(3, 5, SLOW_PREFILL)).isEqualTo(3);
		Assertions.assertThat(planPrefillWorkers(2, 4, LONG_RESPONSES)).isEqualTo(2);
	}

	@Test
	void plansLargeFleet() {
		ThroughputModel throughput = new ThroughputModel(157, 3_650, 6);
		int p = planPrefillWorkers(24, 39, throughput);
		Assertions.assertThat(p).isBetween(13, 17);
		Assertions.assertThat(throughput.requestsPerSecond(p, 63 - p))
			.isGreaterThan(1.2 * throughput.requestsPerSecond(24, 39));
	}

	@Test
	void movesDecodeWorkersToPrefillForShortResponses() {
		Assertions.assertThat(planPrefillWorkers(1, 5, SHORT_RESPONSES)).isGreaterThan(2);
	}

	// A third of a large fleet runs prefill where a quarter suffices. Requests wait for
	// decode workers as long as the required gain is too high for the change.
	@Test
	void acceptsTenPercentGainWithManySamples() {
		ThroughputModel throughput = new ThroughputModel(157, 3_400, 6.5);
		int p = planPrefillWorkers(13, 23, throughput);
		Assertions.assertThat(p).isBetween(9, 11);
		Assertions.assertThat(throughput.requestsPerSecond(p, 36 - p))
			.isGreaterThan(1.1 * throughput.requestsPerSecond(13, 23));
	}

	// Three requests give only a rough load estimate. It justifies a change if three of
	// six workers run prefill and are almost idle, but not if the estimated gain is a
	// third, since the actual gain could then be zero.
	@Test
	void acceptsOnlyLargeGainWithFewSamples() {
		ThroughputModel fastPrefill = new ThroughputModel(94, 3_500, 8);
		Assertions.assertThat(StagePlanner.prefillWorkers(3, 3, fastPrefill, StagePlanner.requiredGain(3)))
			.isEqualTo(1);
		Assertions.assertThat(StagePlanner.prefillWorkers(3, 3, LONG_RESPONSES, StagePlanner.requiredGain(3)))
			.isEqualTo(3);
		Assertions.assertThat(StagePlanner.prefillWorkers(3, 3, LONG_RESPONSES, StagePlanner.requiredGain(6)))
			.isEqualTo(2);
	}

	@Property(tries = 2_000, seed = "20")
	void keepsOneWorkerPerStageAndReachesRequiredGain(@ForAll @IntRange(min = 1, max = 80) int prefill,
			@ForAll @IntRange(min = 1, max = 80) int decode,
			@ForAll @DoubleRange(min = 1, max = 3_000) double prefillMs,
			@ForAll @DoubleRange(min = 50, max = 60_000) double decodeMs,
			@ForAll @DoubleRange(min = 0.5, max = 64) double decodeSlots) {
		ThroughputModel throughput = new ThroughputModel(prefillMs, decodeMs, decodeSlots);
		int p = planPrefillWorkers(prefill, decode, throughput);
		Assertions.assertThat(p).isBetween(1, prefill + decode - 1);
		if (p != prefill) {
			Assertions.assertThat(throughput.requestsPerSecond(p, prefill + decode - p))
				.isGreaterThanOrEqualTo(
						(1 + StagePlanner.requiredGain(64)) * throughput.requestsPerSecond(prefill, decode) * 0.999);
		}
	}

	// A split that was just chosen must not be reverted by the next check.
	@Property(tries = 2_000, seed = "21")
	void doesNotOscillate(@ForAll @IntRange(min = 1, max = 60) int prefill,
			@ForAll @IntRange(min = 1, max = 60) int decode,
			@ForAll @DoubleRange(min = 10, max = 2_000) double prefillMs,
			@ForAll @DoubleRange(min = 50, max = 60_000) double decodeMs,
			@ForAll @DoubleRange(min = 1, max = 64) double decodeSlots) {
		ThroughputModel throughput = new ThroughputModel(prefillMs, decodeMs, decodeSlots);
		int workers = prefill + decode;
		int first = planPrefillWorkers(prefill, decode, throughput);
		int second = planPrefillWorkers(first, workers - first, throughput);
		int third = planPrefillWorkers(second, workers - second, throughput);
		Assertions.assertThat(Integer.signum(second - first) * Integer.signum(third - second)).isNotNegative();
	}

}
