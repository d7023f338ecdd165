package io.shallotspur.quota;

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
 * VM that receives most of its callers. The operator tolerates that quotas are exceeded
 * by some amount, and half of that tolerance is divided among the VMs besides the burst.
 * A quota holds for a window, and each window may contain a burst: the larger of the two
 * amounts is the size of the buckets, the smaller one flows in during the window. Without
 * a tolerance this is a bucket with the rate and the burst.
 * <p>
 * A customer whose requests have several ranks is limited from the least urgent rank up:
 * see {@link QuotaReserve}. With one rank, ranks have no effect.
 * <p>
 * Invariants: a request is admitted while the bucket holds more than its reserve, and may
 * leave the balance negative, so that a share smaller than one request still admits
 * requests periodically; a VM that has just started or become a serving one does not know
 * what was spent before and begins without the burst. In any window all VMs together thus
 * admit no more than the rate, one burst, half of the tolerance, one request per VM, and
 * half a second of a VM's rate each time that one starts or becomes a serving one.
 */
public final class QuotaLimiter {

	private static final double MS_PER_S = 1_000;

	// The other half covers requests that leave a negative balance, VMs that restart, and
	// the seconds in which VMs disagree about the serving set.
	private static final double TOLERANCE_SHARE = 0.5;

	// What a VM that has just started or become a serving one may spend at once, in
	// seconds of its share: about what callers send while it starts.
	private static final double INITIAL_S = 0.5;

	// More urgent ranks may ask for all of the refill. A refused request is then told to
	// return after a longer time, but not never: they may ask for less by then.
	private static final double MIN_REFILL_SHARE = 0.1;

	// Customers whose buckets are kept. Beyond this number full buckets are removed, as a
	// new bucket would start full again.
	private static final int MAX_CUSTOMERS = 20_000;

	private final QuotaTolerance tolerance;

	// Since when this VM receives its share of the callers, as far as it knows.
	private long servingSince;

	private final Map<String, Account> byCustomer = new HashMap<>();

	/**
	 * Creates a limiter.
	 * @param tolerance by how much quotas may be exceeded
	 * @param startedAt when this VM started to receive requests, in milliseconds
	 */
	public QuotaLimiter(QuotaTolerance tolerance, long startedAt) {
		this.tolerance = tolerance;
		this.servingSince = startedAt;
	}

	/**
	 * Records whether this VM serves callers. To be called at least a few times a second:
	 * a bucket that filled while other VMs spent the burst would add a second one.
	 * @param share this VM's share of quotas
	 * @param now the present time in milliseconds
	 */
	public void update(QuotaShare share, long now) {
		if (share.standby()) {
			this.servingSince = now;
		}
	}

	/**
	 * Charges the cost of a request if it is within the quota.
	 * @param customer the customer
	 * @param rank the rank of the request; 0 is the most urgent
	 * @param cost units
	 * @param share this VM's share of quotas
	 * @param now the present time in milliseconds
	 * @return the decision; the cost was charged if the request is admitted
	 */
	public QuotaDecision charge(Customer customer, int rank, double cost, QuotaShare share, long now) {
		if (!customer.quota().isLimited()) {
			return QuotaDecision.UNLIMITED;
		}
		update(share, now);
		Account account = account(customer, share, now);
		TokenBucket bucket = account.bucket;
		account.demand.record(rank, cost, now);
		double perSecond = bucket.perMs() * MS_PER_S;
		RankDemand.Demand above = account.demand.above(rank, perSecond, now);
		double level = bucket.level();
		double reserve = QuotaReserve.of(cost, above, bucket.capacity());
		if (level > reserve) {
			bucket.consume(cost);
			return new QuotaDecision(0, rank, level, reserve, perSecond);
		}
		double refillPerSecond = Math.max(MIN_REFILL_SHARE * perSecond, perSecond - above.perSecond());
		long refillMs = 1 + (long) ((reserve - level) / (refillPerSecond / MS_PER_S));
		return new QuotaDecision(refillMs, rank, level, reserve, perSecond);
	}

	/**
	 * Refunds the cost of a request that did not run.
	 * @param customer the customer
	 * @param cost units
	 */
	public void refund(Customer customer, double cost) {
		Account account = this.byCustomer.get(customer.name());
		if (account != null) {
			account.bucket.refund(cost);
		}
	}

	private Account account(Customer customer, QuotaShare share, long now) {
		Quota quota = customer.quota();
		double tolerated = TOLERANCE_SHARE * toleratedUnits(quota);
		double refill = quota.unitsPerSecond() / MS_PER_S
				+ Math.min(quota.burst(), tolerated) / this.tolerance.windowMs();
		double perMs = share.fraction() * refill;
		double full = share.fraction() * Math.max(quota.burst(), tolerated);
		double initial = Math.min(full, INITIAL_S * share.fraction() * quota.unitsPerSecond());
		Account account = this.byCustomer.get(customer.name());
		if (account == null) {
			if (this.byCustomer.size() >= MAX_CUSTOMERS) {
				this.byCustomer.values().removeIf((x) -> x.bucket.isFull(now));
			}
			account = new Account(new TokenBucket(initial, this.servingSince));
			this.byCustomer.put(customer.name(), account);
		}
		// What accrued before this VM served callers is not kept.
		if (account.bucket.updatedAt() <= this.servingSince) {
			account.bucket.refill(perMs, initial, this.servingSince);
		}
		account.bucket.refill(perMs, share.standby() ? initial : full, now);
		return account;
	}

	private double toleratedUnits(Quota quota) {
		return this.tolerance.slack() + this.tolerance.overshoot()
				* (quota.unitsPerSecond() * this.tolerance.windowMs() / MS_PER_S + quota.burst());
	}

	private static final class Account {

		private final TokenBucket bucket;

		private final RankDemand demand = new RankDemand();

		Account(TokenBucket bucket) {
			this.bucket = bucket;
		}

	}

}
