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

	private EraStatus observe(long era) {
		return this.eras.observe(OptionalLong.of(era));
	}

	@Test
	void learnsTheEraFromTheFirstResponse() {
		Assertions.assertThat(observe(4)).isEqualTo(EraStatus.CURRENT);
		Assertions.assertThat(observe(4)).isEqualTo(EraStatus.CURRENT);
		Assertions.assertThat(this.eras.era()).isEqualTo(4);
	}

	@Test
	void reportsARestoreForALaterEra() {
		observe(4);
		Assertions.assertThat(observe(6)).isEqualTo(EraStatus.RESTORED);
		Assertions.assertThat(observe(6)).isEqualTo(EraStatus.CURRENT);
	}

	// A response from before the restore is delayed on another connection. Accepting it
	// would bring back data that the store has lost.
	@Test
	void rejectsAResponseOfAnEarlierEra() {
		observe(4);
		observe(5);
		Assertions.assertThat(observe(4)).isEqualTo(EraStatus.OUTDATED);
		Assertions.assertThat(this.eras.era()).isEqualTo(5);
	}

	// A store without eras never sends one; all its responses must be accepted.
	@Test
	void acceptsResponsesWithoutAnEraUntilOneHasAnEra() {
		Assertions.assertThat(this.eras.observe(OptionalLong.empty())).isEqualTo(EraStatus.CURRENT);
		Assertions.assertThat(this.eras.observe(OptionalLong.empty())).isEqualTo(EraStatus.CURRENT);
		Assertions.assertThat(observe(1)).isEqualTo(EraStatus.RESTORED);
		Assertions.assertThat(this.eras.observe(OptionalLong.empty())).isEqualTo(EraStatus.OUTDATED);
	}

	// A restore decreases the revision. A worker that has seen a higher fencing token
	// would refuse all orders from then on.
	@Test
	void fencingTokensIncreaseAlthoughRevisionsDecrease() {
		Assertions.assertThat(new StorePosition(2, 10).fencingToken())
			.isGreaterThan(new StorePosition(1, 5_000_000).fencingToken());
		Assertions.assertThat(new StorePosition(2, 11).fencingToken())
			.isGreaterThan(new StorePosition(2, 10).fencingToken());
		Assertions.assertThat(new StorePosition(0, 40).fencingToken()).isEqualTo(40);
	}

}
