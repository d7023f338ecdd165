package io.shallotspur.gateway;

import java.util.ArrayDeque;

/**
 * The part of a common budget that this VM may spend, where each VM derives its share
 * from the registrations that it knows and no VM asks another. Not thread-safe.
 * <p>
 * The budget holds for a sliding window. When registrations change, shares grow at some
 * VMs while what others have spent is still in the window; a process that starts does not
 * know what the one before it has spent. Therefore a share that shrinks applies at once,
 * and one that grows only after all VMs know of the change and the window has passed. A
 * VM that has just registered has nothing, nor has one whose registration may have
 * expired: the others take its share by then.
 * <p>
 * Invariant: if all VMs learn of each change within {@link #PROPAGATION_MS}, and the
 * shares of VMs with the same view add up to at most 1, then what all VMs spend in any
 * window adds up to at most the budget.
 */
final class SettledShare {

	/**
	 * Every VM that is registered knows of a change of the registrations within this
	 * time, in milliseconds: a watch of the store that is lost is noticed, and the store
	 * called again.
	 */
	static final long PROPAGATION_MS = 5_000;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final long holdMs;

	// Shares that are smaller than all later ones, in the order of time; the first is the
	// smallest.
	private final ArrayDeque<Sample> samples = new ArrayDeque<>();

	private long firstSampleAt = Long.MAX_VALUE;

	private long registeredSince = Long.MAX_VALUE;

	private long registeredUntil = NEVER;

	/**
	 * Creates a share of a VM that is not registered.
	 * @param windowMs the window of the budget, in milliseconds
	 */
	SettledShare(long windowMs) {
		this.holdMs = windowMs + PROPAGATION_MS;
	}

	/**
	 * Records a new registration of this VM. A former one has ended.
	 * @param until when it expires unless it is renewed, on the clock that includes
	 * suspensions, in milliseconds
	 * @param now the present time on the monotonic clock, in milliseconds
	 */
	void registered(long until, long now) {
		this.registeredSince = now;
		this.registeredUntil = until;
	}

	/**
	 * Records that the registration has been renewed and had not ended before.
	 * @param until as in {@link #registered}
	 */
	void renewed(long until) {
		this.registeredUntil = Math.max(this.registeredUntil, until);
	}

	/**
	 * Records that this VM has given up its registration. It may still spend its share
	 * until the others can have taken it.
	 * @param elapsed the present time on the clock that includes suspensions, in
	 * milliseconds
	 */
	void deregistered(long elapsed) {
		this.registeredUntil = Math.min(this.registeredUntil, elapsed);
	}

	/**
	 * Records the share that follows from the registrations known now, and returns the
	 * one that this VM may spend. To be called at least a few times a second.
	 * @param share the share by the registrations, from 0 to 1
	 * @param now the present time on the monotonic clock, in milliseconds
	 * @param elapsed the present time on the clock that includes suspensions, in
	 * milliseconds
	 * @return the share that may be spent, from 0 to 1
	 */
	double update(double share, long now, long elapsed) {
		this.firstSampleAt = Math.min(this.firstSampleAt, now);
		while (!this.samples.isEmpty() && this.samples.peekFirst().at() < now - this.holdMs) {
			this.samples.removeFirst();
		}
		while (!this.samples.isEmpty() && this.samples.peekLast().share() >= share) {
			this.samples.removeLast();
		}
		this.samples.addLast(new Sample(now, share));
		return mayBeSpent(now, elapsed) ? this.samples.peekFirst().share() : 0;
	}

	private boolean mayBeSpent(long now, long elapsed) {
		long since = Math.max(this.firstSampleAt, this.registeredSince);
		return since != Long.MAX_VALUE && now - since >= this.holdMs && elapsed < this.registeredUntil + PROPAGATION_MS;
	}

	private record Sample(long at, double share) {

	}

}
