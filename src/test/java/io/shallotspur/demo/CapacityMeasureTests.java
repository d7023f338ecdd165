package io.shallotspur.demo;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests of the measurement of capacity.
 */
class CapacityMeasureTests {

	@Test
	void fitsLine() {
		LineFit f = LineFit.of(new double[] { 1, 2, 4 }, new double[] { 5, 7, 11 });
		assertThat(f.slope()).isCloseTo(2, within(1e-9));
		assertThat(f.intercept()).isCloseTo(3, within(1e-9));
		assertThat(f.quality()).isCloseTo(1, within(1e-9));
		assertThat(LineFit.of(new double[] { 1, 2, 3 }, new double[] { 0, 3, 0 }).quality()).isCloseTo(0, within(1e-9));
		assertThatIllegalArgumentException().isThrownBy(() -> LineFit.of(new double[] { 1, 1 }, new double[] { 1, 2 }));
	}

	@Test
	void runsWithTinySizes() {
		CapacityMeasureOptions o = new CapacityMeasureOptions();
		o.scale = 0.002;
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		int code = CapacityMeasure.run(o, new PrintStream(out, true, StandardCharsets.UTF_8),
				new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
		assertThat(code).isZero();
		assertThat(out.toString(StandardCharsets.UTF_8))
			.contains("### Contract watcher", "### Locate", "### Ledger", "### Record writer", "### Metrics",
					"### Cell owner", "### Idle member", "| refused in all runs | | | 0 |")
			.doesNotContain("NaN");
	}

}
