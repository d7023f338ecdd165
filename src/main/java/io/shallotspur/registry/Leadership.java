package io.shallotspur.registry;

import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;

import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.gateway.EntryVmDirectory;
import io.shallotspur.gateway.WorkerStage;

/**
 * The leadership that allows one entry VM at a time to send orders to workers. It is a
 * key in the store that is attached to the lease of the leader's registration, so it
 * expires with the VM. Not thread-safe; confined to the gateway's thread.
 * <p>
 * Invariants: the key is only ever created, never overwritten, so era and revision
 * increase from leader to leader and form the fencing token; a new leader sends no orders
 * during a handover period, in which the last orders of its predecessor arrive.
 */
public final class Leadership {

	/** The time limit of a call with an order, in milliseconds. */
	public static final long ORDER_CALL_MS = 500;

	// VMs claim a vacant leadership one after the other at this interval, ms. The first
	// has it well before the second tries, so a fleet of hundreds makes one call and not
	// hundreds.
	private static final long CLAIM_INTERVAL_MS = 400;

	// Delay before a vacant leadership is claimed, ms. Entries that are removed and
	// rewritten immediately cause no claim.
	private static final long VACANCY_DELAY_MS = 1_000;

	// Maximum delay of a claim, ms. All VMs whose rank would give a longer delay claim at
	// this time. The VMs of ranks 0 to 17 claim earlier; they are not all cut off from
	// the store at once unless the others are too.
	private static final long MAX_CLAIM_DELAY_MS = 8_000;

	// Delay of a claim by a VM that has resigned or reaches no worker, ms: after all
	// others.
	private static final long LAST_CLAIM_DELAY_MS = MAX_CLAIM_DELAY_MS + 4_000;

	// How long a VM that has resigned claims after all others, ms.
	private static final long RESIGN_BACKOFF_MS = 30_000;

	// For how long a confirmation allows an order, from the question on, ms.
	private static final long CONFIRMATION_MS = 1_000;

	// Orders that the former leader confirmed and sent arrive within this time, ms.
	private static final long IN_FLIGHT_ORDER_MS = CONFIRMATION_MS + ORDER_CALL_MS;

	private final Registry registry;

	private final VmRegistration registration;

	private final EntryVmDirectory vms;

	private final String self;

	private final long handoverMs;

	private final LongSupplier clock;

	private RegistryChange.@Nullable LeaderElected leader;

	// When the leader last changed or this VM's last claim was answered.
	private long changedAt;

	private boolean claimPending;

	// From the resignation until the store shows another state or has not accepted it.
	private boolean resigning;

	private long resignedAt = Long.MIN_VALUE / 2;

	/**
	 * Creates a leadership without a known leader.
	 * @param registry the registry
	 * @param registration this VM's registration
	 * @param vms the entry VMs
	 * @param self the key of this VM's registration
	 * @param handoverMs minimum time between the orders of two leaders, in milliseconds
	 * @param clock supplies the current time in milliseconds
	 */
	public Leadership(Registry registry, VmRegistration registration, EntryVmDirectory vms, String self,
			long handoverMs, LongSupplier clock) {
		this.registry = registry;
		this.registration = registration;
		this.vms = vms;
		this.self = self;
		this.handoverMs = handoverMs;
		this.clock = clock;
		this.changedAt = clock.getAsLong();
	}

	/**
	 * Sets the leader that the store shows.
	 * @param next the leader, or {@code null} if there is none
	 * @param now the current time in milliseconds
	 */
	void onLeader(RegistryChange.@Nullable LeaderElected next, long now) {
		if (Objects.equals(next, this.leader)) {
			return;
		}
		this.leader = next;
		this.changedAt = now;
		this.resigning = false;
		Logger.info("[duty] holder={} fence={}", (next != null) ? next.vm() : "none",
				(next != null) ? next.electedAt().fencingToken() : 0);
	}

	/**
	 * Handles a restore of the store from an older snapshot. The VM that the snapshot
	 * names as the leader may not know of its election, or may know that its leadership
	 * has ended.
	 * @param now the current time in milliseconds
	 */
	void onStoreRestored(long now) {
		onLeader(null, now);
	}

	/**
	 * Claims the leadership if it is vacant and this VM's rank allows a claim by now.
	 * @param reachesWorkers whether this VM can send orders to workers; one that cannot,
	 * or has resigned lately, claims it only if no other VM does
	 * @param now the current time in milliseconds
	 */
	public void claimIfVacant(BooleanSupplier reachesWorkers, long now) {
		long lease = this.registration.activeLease();
		if (this.leader != null || this.claimPending || lease == 0
				|| now - this.changedAt < claimDelayMs(reachesWorkers, now)) {
			return;
		}
		this.claimPending = true;
		// The response can be lost, so success is taken from the watch like all other
		// changes.
		this.registry.claimLeadership(this.self, lease)
			.subscribe((got) -> claimAnswered("got=" + got), (ex) -> claimAnswered(ex.toString()));
	}

	private long claimDelayMs(BooleanSupplier reachesWorkers, long now) {
		if (now - this.resignedAt < RESIGN_BACKOFF_MS || !reachesWorkers.getAsBoolean()) {
			return LAST_CLAIM_DELAY_MS;
		}
		return Math.min(MAX_CLAIM_DELAY_MS, VACANCY_DELAY_MS + CLAIM_INTERVAL_MS * this.vms.rank(this.self, now));
	}

	private void claimAnswered(String result) {
		this.claimPending = false;
		this.changedAt = this.clock.getAsLong();
		Logger.info("[duty] claim answered seen=\"{}\"", result);
	}

	/**
	 * Gives the leadership up, so that another VM leads with a term of its own. Does
	 * nothing if this VM is not the leader.
	 * @param now the current time in milliseconds
	 */
	public void resign(long now) {
		if (!isLeader() || this.resigning) {
			return;
		}
		this.resigning = true;
		this.resignedAt = now;
		// As with a claim, the response can be lost, and the watch shows the result.
		this.registry.resignLeadership(term())
			.subscribe((done) -> resignAnswered(done, "done=" + done), (ex) -> resignAnswered(false, ex.toString()));
	}

	private void resignAnswered(boolean done, String result) {
		Logger.info("[duty] resignation answered seen=\"{}\"", result);
		this.resigning &= done;
	}

	/**
	 * Returns whether this VM is the leader, as far as it knows.
	 * @return whether it is
	 */
	boolean isLeader() {
		return this.leader != null && this.leader.vm().equals(this.self);
	}

	/**
	 * Returns whether this VM is the leader and its handover period has passed, as far as
	 * it knows, and an order that is sent now arrives before its lease can end.
	 * @param now the current time in milliseconds
	 * @return whether it may send orders
	 */
	public boolean mayAct(long now) {
		return isLeader() && !this.resigning && now - this.changedAt >= this.handoverMs + IN_FLIGHT_ORDER_MS
				&& this.registration.leaseRemainingMs() >= ORDER_CALL_MS;
	}

	/**
	 * Returns the present leader's term, which identifies it among all leaders. What is
	 * done for one term must not be continued in another, also of the same VM.
	 * @return the position at which the leader was elected; {@link StorePosition#NONE} if
	 * there is none
	 */
	public StorePosition term() {
		return (this.leader != null) ? this.leader.electedAt() : StorePosition.NONE;
	}

	/**
	 * Reads from the store whether this VM is still the leader. If it was paused or
	 * disconnected for longer than its lease, another VM may have taken over without this
	 * VM knowing. If it is paused before it handles the response, the response tells
	 * nothing about the time after it.
	 * @return whether it is; signals a {@link StoreUnavailableException} if the response
	 * is handled too late to act on it
	 */
	public Mono<Boolean> confirm() {
		RegistryChange.LeaderElected mine = this.leader;
		long askedAt = this.clock.getAsLong();
		return this.registry.readLeader().flatMap((l) -> {
			long age = this.clock.getAsLong() - askedAt;
			return (age > CONFIRMATION_MS)
					? Mono.error(new StoreUnavailableException("The leader was read " + age + " ms ago.", "leader"))
					: Mono.just(l.isPresent() && l.get().vm().equals(this.self) && l.get().equals(mine));
		});
	}

	/**
	 * Announces to all VMs that a worker is about to change its stage.
	 * @param worker the worker
	 * @param stage its next stage
	 * @param term the term of this VM for which it is announced
	 * @return whether this VM was the leader in that term and the announcement is in the
	 * store
	 */
	public Mono<Boolean> announceStageChange(String worker, WorkerStage stage, StorePosition term) {
		return this.registry.announceStageChange(worker, stage, term, this.registration.activeLease());
	}

	/**
	 * Withdraws an announcement.
	 * @param worker the worker
	 * @param term the term of this VM
	 * @return whether this VM was the leader in that term and the announcement is
	 * removed; those of an earlier leader expire with its lease
	 */
	public Mono<Boolean> withdrawStageChange(String worker, StorePosition term) {
		return this.registry.withdrawStageChange(worker, term);
	}

}
