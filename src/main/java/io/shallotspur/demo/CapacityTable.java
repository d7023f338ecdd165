package io.shallotspur.demo;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.Locale;
import java.util.StringJoiner;
import java.util.function.IntToDoubleFunction;

/**
 * Prints what was measured at some sizes with the line through it, and holds the meters:
 * processor time of this thread, without the collector's, and the heap in use. Not
 * thread-safe.
 */
final class CapacityTable {

	private static final double WARM_UP_NANOS = 4e8;

	private static final double MEASURE_NANOS = 2e8;

	private static final double NANOS_PER_MICRO = 1000;

	private final PrintStream out;

	private final double scale;

	CapacityTable(PrintStream out, double scale) {
		this.out = out;
		this.scale = scale;
	}

	/**
	 * Starts a section.
	 * @param title its title
	 */
	void section(String title) {
		this.out.printf("%n### %s%n%n| what | unit | against | size: measured | slope | at 0 | r2 |%n", title);
		this.out.println("|---|---|---|---|---|---|---|");
	}

	/**
	 * Measures at each size and prints the row.
	 * @param what what is measured
	 * @param unit the unit of what is measured
	 * @param against what the size counts
	 * @param sizes the full sizes
	 * @param measure measures at a size
	 */
	void row(String what, String unit, String against, int[] sizes, IntToDoubleFunction measure) {
		double[] x = new double[sizes.length];
		double[] y = new double[sizes.length];
		StringJoiner points = new StringJoiner(", ");
		for (int i = 0; i < sizes.length; i++) {
			int size = scaled(sizes[i]) + ((this.scale < 1) ? i : 0);
			x[i] = size;
			y[i] = measure.applyAsDouble(size);
			points.add(String.format(Locale.ROOT, "%d: %.4g", size, y[i]));
		}
		LineFit f = LineFit.of(x, y);
		this.out.printf(Locale.ROOT, "| %s | %s | %s | %s | %.4g | %.4g | %.3f |%n", what, unit, against, points,
				f.slope(), f.intercept(), f.quality());
	}

	/**
	 * Prints a figure without a line.
	 * @param what what was measured
	 * @param value the figure with its unit
	 */
	void note(String what, String value) {
		this.out.printf("| %s | | | %s | | | |%n", what, value);
	}

	/**
	 * Scales a number of repetitions or a size.
	 * @param full the number at full scale
	 * @return the number, at least 2
	 */
	int scaled(int full) {
		return Math.max(2, (int) (full * this.scale));
	}

	/**
	 * Measures the processor time of a step, after a warm-up of {@link #WARM_UP_NANOS}.
	 * @param count how often the step is done in a round
	 * @param step the step, told which repetition of its round it is
	 * @return microseconds of one step
	 */
	double micros(int count, Step step) {
		int n = scaled(count);
		rounds(n, step, WARM_UP_NANOS * this.scale);
		return rounds(n, step, MEASURE_NANOS * this.scale) / NANOS_PER_MICRO;
	}

	private static double rounds(int n, Step step, double nanos) {
		long start = cpuNanos();
		long done = 0;
		long took = 0;
		while (took < nanos || done == 0) {
			for (int i = 0; i < n; i++) {
				step.run(i);
			}
			done += n;
			took = cpuNanos() - start;
		}
		return (double) took / done;
	}

	/**
	 * Returns the processor time of this thread.
	 * @return nanoseconds
	 */
	static long cpuNanos() {
		return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
	}

	/**
	 * Returns the heap in use after a collection.
	 * @return bytes
	 */
	static long heap() {
		System.gc();
		System.gc();
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

	/**
	 * A step that is repeated.
	 */
	interface Step {

		void run(int i);

	}

}
