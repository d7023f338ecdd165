package io.shallotspur.record;

/**
 * Takes what was prefilled for a request, from the node that ran it, which may be another
 * one than its caller is connected to. Implementations are thread-safe and return soon.
 */
@FunctionalInterface
public interface PrefillLog {

	/**
	 * Takes the prefill of a request that has ended.
	 * @param customer the customer
	 * @param className the class in the customer's contract
	 * @param computed the tokens that were computed, over all attempts
	 * @param wasted those of them of whose answer no token reached the caller
	 * @param now the present time in milliseconds since the epoch
	 */
	void prefilled(String customer, String className, long computed, long wasted, long now);

	/**
	 * Hands everything to another log as well.
	 * @param other the other log
	 * @return a log that tells both
	 */
	default PrefillLog and(PrefillLog other) {
		return (customer, className, computed, wasted, now) -> {
			prefilled(customer, className, computed, wasted, now);
			other.prefilled(customer, className, computed, wasted, now);
		};
	}

}
