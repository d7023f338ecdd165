package io.shallotspur.report;

import java.util.SortedMap;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

import io.shallotspur.record.ClassCounts;
import io.shallotspur.record.Verdict;

/**
 * What became of one class of a customer over some time. Immutable as long as the counts
 * are left alone.
 *
 * @param name the class
 * @param total the counts of the whole time
 * @param minutes the counts by minutes since the epoch
 */
public record ClassTerms(String name, ClassCounts total, SortedMap<Long, ClassCounts> minutes) {

	/**
	 * The part of the requests that must meet their targets for terms to be kept.
	 */
	public static final double KEPT_RATIO = 0.95;

	private static final double MICROS_PER_MS = 1000;

	private static final int MAX_POINTS = 60;

	/**
	 * Returns whether the terms were kept.
	 * @return whether enough requests met their targets
	 */
	public boolean isKept() {
		return this.total.metRatio() >= KEPT_RATIO;
	}

	/**
	 * Returns how often one verdict was given.
	 * @param verdict the verdict
	 * @return the number of requests
	 */
	public long count(Verdict verdict) {
		return this.total.count(verdict);
	}

	/**
	 * Returns a quantile of the time to the first token.
	 * @param percent which
	 * @return milliseconds, 0 if there was none
	 */
	public double ttftMs(double percent) {
		return quantile(this.total.ttft(), percent);
	}

	/**
	 * Returns a quantile of the time between tokens.
	 * @param percent which
	 * @return milliseconds, 0 if there was none
	 */
	public double tbtMs(double percent) {
		return quantile(this.total.tbt(), percent);
	}

	/**
	 * Joins the minutes to at most sixty equal spans.
	 * @param fromMinute the first minute
	 * @param toMinute the first minute that is no longer wanted
	 * @return the counts by the middle of each span, in hours since the first minute
	 */
	public SortedMap<Double, ClassCounts> spans(long fromMinute, long toMinute) {
		long width = Math.max(1, (toMinute - fromMinute + MAX_POINTS - 1) / MAX_POINTS);
		SortedMap<Double, ClassCounts> spans = new TreeMap<>();
		this.minutes.forEach((m, c) -> {
			double middle = ((m - fromMinute) / width + 0.5) * width / 60;
			spans.computeIfAbsent(middle, (k) -> new ClassCounts()).merge(c);
		});
		return spans;
	}

	static double quantile(Histogram h, double percent) {
		return (h.getTotalCount() > 0) ? h.getValueAtPercentile(percent) / MICROS_PER_MS : 0;
	}

}
