package io.shallotspur.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits retries to a part of the first tries, per customer. Without it a failing
 * upstream is sent each request several times over just when it can bear it least, which
 * shows as load that grows while goodput falls.
 * <p>
 * Each customer starts with a reserve, so that the loss of one worker can be made good
 * however little it sent before. Invariant: retries granted never exceed reserve + ratio
 * * first tries. Not thread-safe.
 */
public final class RetryBudget {

	private final double ratio;

	private final double reserve;

	private final Map<String, Double> left = new HashMap<>();

	/**
	 * Creates the budget.
	 * @param ratio retries earned per first try
	 * @param reserve retries a customer may have before any first try, and the most that
	 * can be saved up
	 */
	public RetryBudget(double ratio, double reserve) {
		this.ratio = ratio;
		this.reserve = reserve;
	}

	/**
	 * Notes a first try.
	 * @param customer the customer
	 */
	public void earn(String customer) {
		Double had = this.left.get(customer);
		if (had == null) {
			return;
		}
		double has = had + this.ratio;
		if (has >= this.reserve) {
			this.left.remove(customer);
		}
		else {
			this.left.put(customer, has);
		}
	}

	/**
	 * Takes one retry if the budget allows it.
	 * @param customer the customer
	 * @return whether the retry is allowed
	 */
	public boolean spend(String customer) {
		double has = this.left.getOrDefault(customer, this.reserve);
		if (has < 1) {
			return false;
		}
		this.left.put(customer, has - 1);
		return true;
	}

}
