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
 * Invariants: a request passes while anything is left, and may leave a debt, so that a
 * part that is smaller than a request still lets every so many through; a VM that has
 * just started does not know what was spent before, and begins without the burst.
 */
final class QuotaBook {

	private static final double MS_PER_S = 1_000;

	// What a VM that has just started may spend at once, in seconds of its part: about
	// what callers send while it starts.
	private static final double FIRST_S = 0.5;

	// Customers that are remembered. Beyond it those whose bucket is full are forgotten,
	// as they would begin with a full one again.
	private static final int MOST_CUSTOMERS = 20_000;

	private final long startedAt;

	private final Map<String, Bucket> byCustomer = new HashMap<>();

	QuotaBook(long startedAt) {
		this.startedAt = startedAt;
	}

	/**
	 * Takes what a request costs.
	 * @param c the customer
	 * @param cost units
	 * @param part the part of the quota that is this VM's, over 0 and at most 1
	 * @param now the present time in milliseconds
	 * @return 0 if it was taken, else after how many milliseconds something will be left
	 */
	long take(Customer c, double cost, double part, long now) {
		if (!c.quota().limited()) {
			return 0;
		}
		Bucket b = bucket(c, part, now);
		if (b.level > 0) {
			b.level -= cost;
			return 0;
		}
		return 1 + (long) (-b.level / b.perMs());
	}

	/**
	 * Gives back what a request has taken that turned out not to run.
	 * @param c the customer
	 * @param cost units
	 */
	void giveBack(Customer c, double cost) {
		Bucket b = this.byCustomer.get(c.name());
		if (b != null) {
			b.level = Math.min(b.most(), b.level + cost);
		}
	}

	private Bucket bucket(Customer c, double part, long now) {
		Bucket b = this.byCustomer.get(c.name());
		if (b == null) {
			if (this.byCustomer.size() >= MOST_CUSTOMERS) {
				this.byCustomer.values().removeIf((x) -> x.isFull(now));
			}
			b = new Bucket(c.quota(), part, now);
			b.level = Math.min(b.most(), b.perMs() * (FIRST_S * MS_PER_S + now - this.startedAt));
			this.byCustomer.put(c.name(), b);
		}
		b.update(c.quota(), part, now);
		return b;
	}

	/**
	 * The bucket of one customer. Not thread-safe.
	 */
	private static final class Bucket {

		private Quota quota;

		private double part;

		private double level;

		private long at;

		private Bucket(Quota quota, double part, long now) {
			this.quota = quota;
			this.part = part;
			this.at = now;
		}

		private double perMs() {
			return this.quota.perSecond() * this.part / MS_PER_S;
		}

		private double most() {
			return this.quota.burst() * this.part;
		}

		private boolean isFull(long now) {
			return this.level + perMs() * (now - this.at) >= most();
		}

		// A smaller quota or part holds at once for what is left, too.
		private void update(Quota q, double p, long now) {
			double filled = this.level + perMs() * (now - this.at);
			this.quota = q;
			this.part = p;
			this.level = Math.min(Math.max(most(), 1), filled);
			this.at = now;
		}

	}

}
