package io.shallotspur.gateway;

import java.util.HashMap;
import java.util.Map;

import io.shallotspur.route.Customer;
import io.shallotspur.route.Quota;

/**
 * Enforces the quotas of customers at this VM. Not thread-safe; the present time is an
 * argument.
 * <p>
 * Without a limit, a customer that sends many times its quota during a shortage of
 * workers would displace all other customers. A quota holds for all VMs together, and a
 * VM cannot ask the others for each request. Each VM therefore has one token bucket per
 * customer with its share of the rate and of the burst.
 * <p>
 * Callers are not spread evenly, and a customer far below its quota would be refused at a
 * VM that receives most of its callers. Each bucket is therefore larger than the VM's
 * share of the burst: the operator tolerates that quotas are exceeded by some amount, and
 * half of that tolerance is divided among the VMs.
 * <p>
 * Invariants: a request is admitted while the bucket holds more than a small reserve, and
 * may leave the balance negative, so that a share smaller than one request still admits
 * requests periodically; a VM that has just started does not know what was spent before
 * and starts without the burst. In any window all VMs together thus admit no more than
 * the rate, one burst, half of the tolerance, one request per VM, and half a second's
 * rate per start.
 */
final class QuotaLimiter {

	private static final double MS_PER_S = 1_000;

	// The other half covers requests that leave a negative balance, VMs that restart, and
	// the seconds in which VMs disagree about the serving set.
	private static final double TOLERANCE_SHARE = 0.5;

	// What a VM that has just started may spend at once, in seconds of its share: about
	// what callers send while it starts.
	private static final double INITIAL_S = 0.5;

	// A request is admitted while the bucket holds more than this many times its cost.
	// Otherwise a customer that has exhausted its quota with long prompts would also be
	// refused its plain requests, which cost a thirtieth as much.
	private static final double RESERVE_COSTS = 4;

	// Upper bound of that reserve, as a share of the bucket's capacity.
	private static final double MAX_RESERVE_SHARE = 0.1;

	// Customers whose buckets are kept. Beyond this number full buckets are removed, as a
	// new bucket would start full again.
	private static final int MAX_CUSTOMERS = 20_000;

	private final QuotaTolerance tolerance;

	private final long startedAt;

	private final Map<String, TokenBucket> byCustomer = new HashMap<>();

	/**
	 * Creates a limiter.
	 * @param tolerance by how much quotas may be exceeded
	 * @param startedAt when this VM started to receive requests, in milliseconds
	 */
	QuotaLimiter(QuotaTolerance tolerance, long startedAt) {
		this.tolerance = tolerance;
		this.startedAt = startedAt;
	}

	/**
	 * Charges the cost of a request.
	 * @param customer the customer
	 * @param cost units
	 * @param share this VM's share of the quota, over 0 and at most 1
	 * @param now the present time in milliseconds
	 * @return 0 if the request is admitted and was charged, else the time in milliseconds
	 * until enough quota is available
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
	 * Refunds the cost of a request that did not run.
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
