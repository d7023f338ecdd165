package io.shallotspur.replay;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;

/**
 * The replays of one point of a sweep: one policy at one load, over several seeds.
 * Immutable.
 *
 * @param reports a report for each seed
 * @param modelClasses the {@code customer/class} names that a model serves
 */
record SweepPoint(List<ReplayReport> reports, Set<String> modelClasses) {

	SweepPoint {
		reports = List.copyOf(reports);
	}

	/**
	 * Returns the goodput over all classes.
	 * @return the mean of the seeds
	 */
	double goodput() {
		return mean((r) -> r.total().goodputRatio());
	}

	/**
	 * Returns the goodput over the classes that a model serves.
	 * @return the mean of the seeds
	 */
	double modelGoodput() {
		return mean(this::modelGoodput);
	}

	/**
	 * Returns the least goodput over the seeds of the classes that a model serves.
	 * @return the least
	 */
	double leastModelGoodput() {
		return this.reports.stream().mapToDouble(this::modelGoodput).min().orElse(0);
	}

	/**
	 * Returns the goodput of the worst class that no model serves.
	 * @return the least of classes and seeds
	 */
	double leastPlainGoodput() {
		return this.reports.stream()
			.flatMap((r) -> r.byClass().entrySet().stream())
			.filter((e) -> !this.modelClasses.contains(e.getKey()))
			.map(Map.Entry::getValue)
			.mapToDouble(Tally::goodputRatio)
			.min()
			.orElse(1);
	}

	/**
	 * Returns the part of the prefill tokens that was wasted.
	 * @return the mean of the seeds
	 */
	double wasted() {
		return mean((r) -> r.total().wastedPrefillTokens() / (double) Math.max(1, r.total().prefillTokens()));
	}

	/**
	 * Adds up a count over the seeds.
	 * @param count the count
	 * @return the sum
	 */
	long sum(ToLongFunction<Tally> count) {
		return this.reports.stream().mapToLong((r) -> count.applyAsLong(r.total())).sum();
	}

	/**
	 * Adds up the orders to workers that had been leaving for long.
	 * @return the sum
	 */
	long leaveViolations() {
		return this.reports.stream().mapToLong(ReplayReport::leaveViolations).sum();
	}

	private double modelGoodput(ReplayReport r) {
		Collection<Tally> l = r.byClass()
			.entrySet()
			.stream()
			.filter((e) -> this.modelClasses.contains(e.getKey()))
			.map(Map.Entry::getValue)
			.toList();
		long stayed = l.stream().mapToLong(Tally::stayed).sum();
		return (stayed > 0) ? l.stream().mapToLong(Tally::good).sum() / (double) stayed : 1;
	}

	private double mean(ToDoubleFunction<ReplayReport> f) {
		return this.reports.stream().mapToDouble(f).average().orElse(0);
	}

}
