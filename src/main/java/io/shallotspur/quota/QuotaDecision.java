package io.shallotspur.quota;

/**
 * Whether a request is within its customer's quota, and why. Immutable.
 *
 * @param refillMs 0 if the request is admitted and was charged, else the expected time in
 * milliseconds until this VM can admit it
 * @param rank the rank of the request; 0 is the most urgent
 * @param level the units that this VM had left for the customer
 * @param reserve the units that a request of this rank and cost leaves to others
 * @param unitsPerSecond this VM's share of the customer's rate; 0 if there is no limit
 */
public record QuotaDecision(long refillMs, int rank, double level, double reserve, double unitsPerSecond) {

	/** There is no limit. */
	public static final QuotaDecision UNLIMITED = new QuotaDecision(0, 0, 0, 0, 0);

	/**
	 * Returns whether the request is admitted.
	 * @return {@code false} if the quota is exhausted for its rank
	 */
	public boolean isAdmitted() {
		return this.refillMs == 0;
	}

	@Override
	public String toString() {
		return "rank=" + this.rank + " quota-left=" + Math.round(this.level) + " quota-reserve="
				+ Math.round(this.reserve) + " quota-share-per-s=" + Math.round(this.unitsPerSecond);
	}

}
