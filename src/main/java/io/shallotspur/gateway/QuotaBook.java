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
final class QuotaBook {

	private static final double MS_PER_S = 1_000;

	// The other half is for requests that leave a debt, for VMs that start anew, and for
	// the seconds in which VMs differ on who serves.
	private static final double SHARED_TOLERANCE = 0.5;

	// What a VM that has just started may spend at once, in seconds of its part: about
	// what callers send while it starts.
	private static final double FIRST_S = 0.5;

	// A request passes while this many times its cost is left. A customer that has used
	// its quota up with long prompts would otherwise be refused its plain calls as well,
	// which take a thirtieth.
	private static final double LEFT_COSTS = 4;

	// But no more than this part of the bucket has to be left.
	private static final double LEFT_PART = 0.1;

	// Customers that are remembered. Beyond it those whose bucket is full are forgotten,
	// as they would begin with a full one again.
	private static final int MOST_CUSTOMERS = 20_000;

	private final QuotaBounds bounds;

	private final long startedAt;

	private final Map<String, TokenBucket> byCustomer = new HashMap<>();

	/**
	 * Creates a book.
	 * @param bounds how exactly quotas have to be kept
	 * @param startedAt since when this VM sees requests, in milliseconds
	 */
	QuotaBook(QuotaBounds bounds, long startedAt) {
		this.bounds = bounds;
		this.startedAt = startedAt;
	}

	/**
	 * Takes what a request costs.
	 * @param c the customer
	 * @param cost units
	 * @param part the part of the quota that is this VM's, over 0 and at most 1
	 * @param now the present time in milliseconds
	 * @return 0 if it was taken, else after how many milliseconds there will be room
	 */
	long take(Customer c, double cost, double part, long now) {
		if (!c.quota().limited()) {
			return 0;
		}
		TokenBucket b = bucket(c, part, now);
		double least = Math.min(LEFT_PART * b.most(), LEFT_COSTS * cost);
		if (b.level() > least) {
			b.take(cost);
			return 0;
		}
		return 1 + (long) ((least - b.level()) / b.perMs());
	}

	/**
	 * Gives back what a request has taken that turned out not to run.
	 * @param c the customer
	 * @param cost units
	 */
	void giveBack(Customer c, double cost) {
		TokenBucket b = this.byCustomer.get(c.name());
		if (b != null) {
			b.giveBack(cost);
		}
	}

	private TokenBucket bucket(Customer c, double part, long now) {
		Quota q = c.quota();
		double perMs = q.perSecond() * part / MS_PER_S;
		double tolerated = this.bounds.slack()
				+ this.bounds.overshoot() * (q.perSecond() * this.bounds.windowMs() / MS_PER_S + q.burst());
		double most = part * (q.burst() + SHARED_TOLERANCE * tolerated);
		TokenBucket b = this.byCustomer.get(c.name());
		if (b == null) {
			if (this.byCustomer.size() >= MOST_CUSTOMERS) {
				this.byCustomer.values().removeIf((x) -> x.isFull(now));
			}
			b = new TokenBucket(perMs * (FIRST_S * MS_PER_S + now - this.startedAt), now);
			this.byCustomer.put(c.name(), b);
		}
		b.fill(perMs, most, now);
		return b;
	}

}
