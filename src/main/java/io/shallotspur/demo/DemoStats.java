package io.shallotspur.demo;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * What the callers of one class saw. Thread-safe.
 */
final class DemoStats {

	private static final long MAX_MS = 600_000;

	private static final int DIGITS = 3;

	private final Histogram ttft = new Histogram(MAX_MS, DIGITS);

	private final Histogram gaps = new Histogram(MAX_MS, DIGITS);

	private final Map<String, Integer> mostRuns = new HashMap<>();

	private int sent;

	private int met;

	private int left;

	private int refused;

	private int unknown;

	private int lost;

	private int wrong;

	private int duplicated;

	synchronized void sent() {
		this.sent++;
	}

	synchronized void left() {
		this.left++;
	}

	synchronized void refused(boolean notRun) {
		if (notRun) {
			this.refused++;
		}
		else {
			this.unknown++;
		}
	}

	synchronized void lost() {
		this.lost++;
	}

	/**
	 * Takes what the caller of a keyed request was told.
	 * @param key the key
	 * @param notRun whether the caller was told, at the first try, that it was not run
	 */
	synchronized void keyed(String key, boolean notRun) {
		this.mostRuns.put(key, notRun ? 0 : 1);
	}

	/**
	 * Counts the keyed requests that were run more often than what was told allows.
	 * @param runs the executions by key, over all plain workers
	 */
	synchronized void settle(Map<String, Integer> runs) {
		this.duplicated = this.mostRuns.entrySet()
			.stream()
			.mapToInt((e) -> Math.max(0, runs.getOrDefault(e.getKey(), 0) - e.getValue()))
			.sum();
	}

	/**
	 * Takes a whole answer.
	 * @param right whether it was the answer to the caller's own request
	 * @param ttftMs the time to its first token, or of a plain call to its end
	 * @param gapsMs the times between its tokens
	 * @param targetMet whether all targets were met
	 */
	synchronized void answered(boolean right, long ttftMs, List<Long> gapsMs, boolean targetMet) {
		this.ttft.recordValue(Math.min(MAX_MS, ttftMs));
		gapsMs.forEach((g) -> this.gaps.recordValue(Math.min(MAX_MS, g)));
		if (!right) {
			this.wrong++;
		}
		else if (targetMet) {
			this.met++;
		}
	}

	/**
	 * Returns the numbers in the order of the table's columns.
	 * @param c the class
	 * @return the numbers
	 */
	synchronized DemoRow row(DemoClass c) {
		return new DemoRow(c.customer(), c.terms().name(), this.sent, this.met, this.left, this.refused, this.unknown,
				this.lost, this.wrong, this.duplicated, percentiles(this.ttft), percentiles(this.gaps));
	}

	private static long[] percentiles(Histogram h) {
		return new long[] { h.getValueAtPercentile(50), h.getValueAtPercentile(95), h.getValueAtPercentile(99) };
	}

}
