package io.shallotspur.gateway;

import java.util.HashMap;
import java.util.Map;

import io.shallotspur.route.Customer;
import io.shallotspur.route.Quota;

/**
 * What each customer may still ask for at this VM. Not thread-safe; the present time is
 * an argument.
 * <p>
 * Answers a customer that sends many times what it has paid for while the workers are
 * short: without a limit it would take the places of all others. The limit holds for all
 * VMs together, and a VM cannot ask the others with each request. So it spends its part
 * only: a token bucket with that part of the rate and of the burst.
 * <p>
 * Callers do not spread evenly, and a customer far below its quota would be refused where
 * its callers happen to be. So the bucket is larger than the part of the burst: the
 * operator tolerates that a quota is passed by some of it, and half of that is shared out
 * among the VMs.
 * <p>
 * Invariants: a request passes while something is left, and may leave a debt, so that a
 * part that is smaller than a request still lets every so many through; a VM that has
 * just started does not know what was spent before, and begins without the burst. So in
 * any window all VMs together let through no more than the rate, one burst, half of what
 * is tolerated, a request for each VM, and half a second's rate for each start.
 */
final class QuotaLimiter {

	private static final double MS_PER_S = 1_000;

	// The other half is for requests that leave a debt, for VMs that start anew, and for
	// the seconds in which VMs differ on who serves.
	private static final double TOLERANCE_SHARE = 0.5;

	// What a VM that has just started may spend at once, in seconds of its part: about
	// what callers send while it starts.
	private static final double INITIAL_S = 0.5;

	// A request passes while this many times its cost is left. A customer that has used
	// its quota up with long prompts would otherwise be refused its plain calls as well,
	// which take a thirtieth.
	private static final double RESERVE_COSTS = 4;

	// But no more than this part of the bucket has to be left.
	private static final double MAX_RESERVE_SHARE = 0.1;

	// Customers that are remembered. Beyond it those whose bucket is full are forgotten,
	// as they would begin with a full one again.
	private static final int MAX_CUSTOMERS = 20_000;

	private final QuotaTolerance tolerance;

	private final long startedAt;

	private final Map<String, TokenBucket> byCustomer = new HashMap<>();

	/**
	 * Creates a book.
	 * @param tolerance how exactly quotas have to be kept
	 * @param startedAt since when this VM sees requests, in milliseconds
	 */
	QuotaLimiter(QuotaTolerance tolerance, long startedAt) {
		this.tolerance = tolerance;
		this.startedAt = startedAt;
	}

	/**
	 * Takes what a request costs.
	 * @param customer the customer
	 * @param cost units
	 * @param share the part of the quota that is this VM's, over 0 and at most 1
	 * @param now the present time in milliseconds
	 * @return 0 if it was taken, else after how many milliseconds there will be room
	 */
	long charge(Customer customer, double cost, double share, long now) {
		if (!customer.quota().isLimited()) {
			return 0;
		}
		TokenBucket bucket = bucket(customer, share, now);
		double reserve = Math.min(MAX_RESERVE_SHARE * bucket.capacity(), RESERVE_COSTS * cost);
		if (bucket.level() > reserve) {
			bucket.consume(cost);
			return 0;
		}
		return 1 + (long) ((reserve - bucket.level()) / bucket.perMs());
	}

	/**
	 * Gives back what a request has taken that turned out not to run.
	 * @param customer the customer
	 * @param cost units
	 */
	void refund(Customer customer, double cost) {
		TokenBucket bucket = this.byCustomer.get(customer.name());
		if (bucket != null) {
			bucket.refund(cost);
		}
	}

	private TokenBucket bucket(Customer customer, double share, long now) {
		Quota quota = customer.quota();
		double perMs = quota.unitsPerSecond() * share / MS_PER_S;
		double toleratedUnits = this.tolerance.slack() + this.tolerance.overshoot()
				* (quota.unitsPerSecond() * this.tolerance.windowMs() / MS_PER_S + quota.burst());
		double capacity = share * (quota.burst() + TOLERANCE_SHARE * toleratedUnits);
		TokenBucket bucket = this.byCustomer.get(customer.name());
		if (bucket == null) {
			if (this.byCustomer.size() >= MAX_CUSTOMERS) {
				this.byCustomer.values().removeIf((x) -> x.isFull(now));
			}
			bucket = new TokenBucket(perMs * (INITIAL_S * MS_PER_S + now - this.startedAt), now);
			this.byCustomer.put(customer.name(), bucket);
		}
		bucket.refill(perMs, capacity, now);
		return bucket;
	}

}
