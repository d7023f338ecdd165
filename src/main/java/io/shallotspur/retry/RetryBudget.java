package io.shallotspur.retry;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounds the retries of each customer to a part of its first tries.
 * <p>
 * Without a bound, each failing worker turns one call into several, and the healthy
 * workers drown in the repetitions of the calls that the failing ones lost.
 * <p>
 * Invariant: in the window, counted with decay, retries are at most the larger of the
 * floor and the ratio times the first tries. Both counts decay alike, so over any time in
 * which the ratio gives more than the floor, calls sent are at most {@code 1 + ratio}
 * times the first tries. Thread-safe: each method holds the monitor of this object for a
 * short time.
 */
public final class RetryBudget {

	private final RetryBudgetSettings limits;

	private final Map<String, Tries> byCustomer = new LinkedHashMap<>(16, 0.75f, true);

	/**
	 * Creates a budget with the default limits.
	 */
	public RetryBudget() {
		this(RetryBudgetSettings.DEFAULT);
	}

	/**
	 * Creates a budget.
	 * @param limits its bounds
	 */
	public RetryBudget(RetryBudgetSettings limits) {
		this.limits = limits;
	}

	/**
	 * Counts a first try.
	 * @param customer the customer
	 * @param now the present time in milliseconds
	 */
	public synchronized void recordFirstAttempt(String customer, long now) {
		tries(customer, now).first += 1;
	}

	/**
	 * Takes a retry out of the budget.
	 * @param customer the customer
	 * @param now the present time in milliseconds
	 * @return whether the call may be tried again
	 */
	public synchronized boolean tryRetry(String customer, long now) {
		Tries t = tries(customer, now);
		double most = Math.max(this.limits.floor(), this.limits.ratio() * t.first);
		if (t.retries + 1 > most) {
			return false;
		}
		t.retries += 1;
		return true;
	}

	private Tries tries(String customer, long now) {
		Tries t = this.byCustomer.get(customer);
		if (t == null) {
			t = new Tries(now);
			this.byCustomer.put(customer, t);
			bound();
		}
		t.decay(now, this.limits.windowMs());
		return t;
	}

	private void bound() {
		if (this.byCustomer.size() > this.limits.maxCustomers()) {
			this.byCustomer.remove(this.byCustomer.keySet().iterator().next());
		}
	}

	private static final class Tries {

		private double first;

		private double retries;

		private long at;

		private Tries(long at) {
			this.at = at;
		}

		private void decay(long now, long windowMs) {
			if (now > this.at) {
				double f = Math.exp(-(double) (now - this.at) / windowMs);
				this.first *= f;
				this.retries *= f;
				this.at = now;
			}
		}

	}

}
