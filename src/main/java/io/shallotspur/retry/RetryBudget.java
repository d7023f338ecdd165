package io.shallotspur.retry;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the retries of each customer to a fraction of its first attempts.
 * <p>
 * Without a limit, each failing worker turns one call into several, and the retries of
 * lost calls overload the healthy workers.
 * <p>
 * Invariant: both counts decay exponentially, and within the window the number of retries
 * is at most the larger of the guaranteed minimum and the ratio times the number of first
 * attempts. Both counts decay at the same rate, so over any period in which the ratio
 * allows more than the minimum, the calls sent are at most {@code 1 + ratio} times the
 * first attempts. Thread-safe: each method briefly holds the monitor of this object.
 */
public final class RetryBudget {

	private final RetryBudgetSettings settings;

	private final Map<String, AttemptCounts> byCustomer = new LinkedHashMap<>(16, 0.75f, true);

	/**
	 * Creates a budget with the default settings.
	 */
	public RetryBudget() {
		this(RetryBudgetSettings.DEFAULT);
	}

	/**
	 * Creates a budget.
	 * @param settings the settings
	 */
	public RetryBudget(RetryBudgetSettings settings) {
		this.settings = settings;
	}

	/**
	 * Records the first attempt of a call.
	 * @param customer the customer
	 * @param now the current time in milliseconds
	 */
	public synchronized void recordFirstAttempt(String customer, long now) {
		counts(customer, now).firstAttempts += 1;
	}

	/**
	 * Takes a retry from the budget if it allows one.
	 * @param customer the customer
	 * @param now the current time in milliseconds
	 * @return whether the call may be retried
	 */
	public synchronized boolean tryRetry(String customer, long now) {
		AttemptCounts counts = counts(customer, now);
		double maxRetries = Math.max(this.settings.minRetries(), this.settings.ratio() * counts.firstAttempts);
		if (counts.retries + 1 > maxRetries) {
			return false;
		}
		counts.retries += 1;
		return true;
	}

	private AttemptCounts counts(String customer, long now) {
		AttemptCounts counts = this.byCustomer.get(customer);
		if (counts == null) {
			counts = new AttemptCounts(now);
			this.byCustomer.put(customer, counts);
			evictIfFull();
		}
		counts.decay(now, this.settings.windowMs());
		return counts;
	}

	private void evictIfFull() {
		if (this.byCustomer.size() > this.settings.maxCustomers()) {
			this.byCustomer.remove(this.byCustomer.keySet().iterator().next());
		}
	}

	private static final class AttemptCounts {

		private double firstAttempts;

		private double retries;

		private long updatedAt;

		private AttemptCounts(long updatedAt) {
			this.updatedAt = updatedAt;
		}

		private void decay(long now, long windowMs) {
			if (now > this.updatedAt) {
				double factor = Math.exp(-(double) (now - this.updatedAt) / windowMs);
				this.firstAttempts *= factor;
				this.retries *= factor;
				this.updatedAt = now;
			}
		}

	}

}
