package io.shallotspur.platform.soak;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of the soak's check for callers of a VM that has lost its paths to workers.
 */
class CutVmTests {

	private static final long REACTION_MS = 3_000;

	private final CutVm cut = new CutVm("a", 0);

	private void add(String vm, long sentAtMs, int served, int failed) {
		for (int i = 0; i < served + failed; i++) {
			this.cut.onEnded(vm, sentAtMs, i < served);
		}
	}

	@Test
	void reportsAVmThatServesFewOfItsCallers() {
		add("a", REACTION_MS, 10, 20);
		add("b", REACTION_MS, 60, 5);
		Assertions.assertThat(this.cut.violation()).hasValue("RECOVER vm=a here=10/30 elsewhere=60/65");
	}

	@Test
	void toleratesTheFirstSeconds() {
		add("a", REACTION_MS - 1, 0, 100);
		add("b", REACTION_MS, 60, 5);
		Assertions.assertThat(this.cut.violation()).isEmpty();
	}

	@Test
	void toleratesTenFailuresAndOneInFiftyOfAll() {
		add("a", REACTION_MS, 0, 11);
		add("b", REACTION_MS, 89, 0);
		Assertions.assertThat(this.cut.violation()).isEmpty();
		add("a", REACTION_MS, 0, 2);
		Assertions.assertThat(this.cut.violation()).isPresent();
	}

	@Test
	void toleratesFailuresThatAreCommonElsewhere() {
		add("a", REACTION_MS, 20, 30);
		add("b", REACTION_MS, 50, 50);
		Assertions.assertThat(this.cut.violation()).isEmpty();
	}

}
