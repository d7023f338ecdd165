package io.shallotspur.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * Start tags of start-time fair queueing between the customers that wait for the same
 * capacity: requests of a rank that are served in the order of their tags give each
 * customer capacity in proportion to its weight while it is short. Not used by the
 * gateway yet. Not thread-safe.
 * <p>
 * Designed for a customer that sends many times its usual requests but stays within its
 * quota. In the order of arrival it would take the capacity of the others in proportion
 * to what it sends. Here only its own requests wait behind each other.
 * <p>
 * The tag of a request is final when it arrives, so that it can be part of a fixed order.
 * {@link io.shallotspur.admission.FairQueue} charges a customer when its request starts,
 * which needs a queue of its own for each customer; here one order holds for requests
 * that also have to fit into the memory that a worker has left.
 * <p>
 * Invariants: virtual time never decreases; a customer without pending requests gathers
 * no credit; at most half of the customers for which state is kept, and a few more, have
 * neither pending requests nor a tag ahead of virtual time.
 */
public final class FairShares {

	/** The name under which requests without a customer share. */
	public static final String ANONYMOUS = "";

	private static final int MIN_SWEEP = 64;

	private final Map<String, Flow> flows = new HashMap<>();

	private double virtualTime;

	private int sweepAt = MIN_SWEEP;

	/**
	 * Returns the tag of a request that begins to wait.
	 * @param customer the customer
	 * @param weight its weight, for instance the rate of its quota; over 0
	 * @param cost what the request takes, in any unit that is the same for all
	 * @return the tag; a smaller one is served first
	 */
	public double enqueue(String customer, double weight, double cost) {
		Flow flow = this.flows.computeIfAbsent(customer, (c) -> new Flow());
		double tag = Math.max(this.virtualTime, flow.nextTag);
		flow.nextTag = tag + cost / weight;
		flow.pending++;
		return tag;
	}

	/**
	 * Records that a request has got capacity and no longer waits.
	 * @param customer its customer
	 * @param tag its tag
	 */
	public void served(String customer, double tag) {
		this.virtualTime = Math.max(this.virtualTime, tag);
		ended(customer);
	}

	/**
	 * Records that a request no longer waits and has got no capacity. Requests of its
	 * customer that arrive later are not charged for it.
	 * @param customer its customer
	 * @param weight as in {@link #enqueue}
	 * @param cost as in {@link #enqueue}
	 */
	public void withdrawn(String customer, double weight, double cost) {
		Flow flow = this.flows.get(customer);
		if (flow != null) {
			flow.nextTag -= cost / weight;
		}
		ended(customer);
	}

	/**
	 * Returns the number of customers for which state is kept.
	 * @return those that wait or have had more than their share
	 */
	public int size() {
		return this.flows.size();
	}

	private void ended(String customer) {
		Flow flow = this.flows.get(customer);
		if (flow != null) {
			flow.pending--;
		}
		if (this.flows.size() >= this.sweepAt) {
			this.flows.values().removeIf((f) -> f.pending <= 0 && f.nextTag <= this.virtualTime);
			this.sweepAt = Math.max(MIN_SWEEP, 2 * this.flows.size());
		}
	}

	private static final class Flow {

		private double nextTag;

		private int pending;

	}

}
