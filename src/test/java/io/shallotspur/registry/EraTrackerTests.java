package io.shallotspur.registry;

import java.util.OptionalLong;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import io.shallotspur.registry.EraTracker.EraStatus;

/**
 * Tests of {@link EraTracker} and {@link StorePosition}.
 */
class EraTrackerTests {

	private final EraTracker eras = new EraTracker();

	private EraStatus hear(long era) {
		return this.eras.observe(OptionalLong.of(era));
	}

	@Test
	void learnsTheEraFromTheFirstAnswer() {
		Assertions.assertThat(hear(4)).isEqualTo(EraStatus.CURRENT);
		Assertions.assertThat(hear(4)).isEqualTo(EraStatus.CURRENT);
		Assertions.assertThat(this.eras.era()).isEqualTo(4);
	}

	@Test
	void tellsThatTheStoreWasRestored() {
		hear(4);
		Assertions.assertThat(hear(6)).isEqualTo(EraStatus.RESTORED);
		Assertions.assertThat(hear(6)).isEqualTo(EraStatus.CURRENT);
	}

	// An answer of before the return arrives late on another connection and brings back
	// what the store has lost.
	@Test
	void dropsAnAnswerOfAnEarlierEra() {
		hear(4);
		hear(5);
		Assertions.assertThat(hear(4)).isEqualTo(EraStatus.OUTDATED);
		Assertions.assertThat(this.eras.era()).isEqualTo(5);
	}

	// A store without eras never tells one; all its answers have to be taken.
	@Test
	void takesAnswersWithoutAnEraUntilOneHasIt() {
		Assertions.assertThat(this.eras.observe(OptionalLong.empty())).isEqualTo(EraStatus.CURRENT);
		Assertions.assertThat(this.eras.observe(OptionalLong.empty())).isEqualTo(EraStatus.CURRENT);
		Assertions.assertThat(hear(1)).isEqualTo(EraStatus.RESTORED);
		Assertions.assertThat(this.eras.observe(OptionalLong.empty())).isEqualTo(EraStatus.OUTDATED);
	}

	// Revisions fall back with the store. A worker that has seen a higher fencing number
	// would refuse all orders from then on.
	@Test
	void fencesRiseThoughRevisionsFallBack() {
		Assertions.assertThat(new StorePosition(2, 10).fencingToken()).isGreaterThan(new StorePosition(1, 5_000_000).fencingToken());
		Assertions.assertThat(new StorePosition(2, 11).fencingToken()).isGreaterThan(new StorePosition(2, 10).fencingToken());
		Assertions.assertThat(new StorePosition(0, 40).fencingToken()).isEqualTo(40);
	}

}
