package io.shallotspur.record;

import java.io.OutputStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;
import org.HdrHistogram.PackedHistogram;

/**
 * A reservoir of Dropwizard Metrics over HdrHistograms: quantiles of the present window
 * and the one before. Thread-safe.
 */
final class HdrReservoir implements Reservoir {

	private static final int DIGITS = 2;

	private Histogram present = new PackedHistogram(DIGITS);

	private Histogram former = new PackedHistogram(DIGITS);

	@Override
	public synchronized int size() {
		return (int) Math.min(Integer.MAX_VALUE, this.present.getTotalCount() + this.former.getTotalCount());
	}

	@Override
	public synchronized void update(long value) {
		this.present.recordValue(Math.max(0, value));
	}

	@Override
	public synchronized Snapshot getSnapshot() {
		Histogram sum = new PackedHistogram(DIGITS);
		sum.add(this.present);
		sum.add(this.former);
		return new HdrSnapshot(sum);
	}

	/**
	 * Begins a new window.
	 */
	synchronized void rotate() {
		this.former = this.present;
		this.present = new PackedHistogram(DIGITS);
	}

	private static final class HdrSnapshot extends Snapshot {

		private static final double PERCENT = 100;

		private final Histogram histogram;

		HdrSnapshot(Histogram histogram) {
			this.histogram = histogram;
		}

		@Override
		public double getValue(double quantile) {
			return (this.histogram.getTotalCount() > 0) ? this.histogram.getValueAtPercentile(quantile * PERCENT) : 0;
		}

		@Override
		public long[] getValues() {
			long[] values = new long[size()];
			int n = 0;
			for (HistogramIterationValue v : this.histogram.recordedValues()) {
				for (long i = 0; i < v.getCountAddedInThisIterationStep() && n < values.length; i++) {
					values[n++] = v.getValueIteratedTo();
				}
			}
			return values;
		}

		@Override
		public int size() {
			return (int) Math.min(Integer.MAX_VALUE, this.histogram.getTotalCount());
		}

		@Override
		public long getMax() {
			return this.histogram.getMaxValue();
		}

		@Override
		public double getMean() {
			return this.histogram.getMean();
		}

		@Override
		public long getMin() {
			return (this.histogram.getTotalCount() > 0) ? this.histogram.getMinValue() : 0;
		}

		@Override
		public double getStdDev() {
			return this.histogram.getStdDeviation();
		}

		@Override
		public void dump(OutputStream output) {
			PrintWriter out = new PrintWriter(output, true, StandardCharsets.UTF_8);
			for (long v : getValues()) {
				out.printf(Locale.ROOT, "%d%n", v);
			}
		}

	}

}
