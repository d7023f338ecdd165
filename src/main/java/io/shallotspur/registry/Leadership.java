package io.shallotspur.registry;

import java.util.Objects;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;

import io.shallotspur.gateway.EntryVmDirectory;
import io.shallotspur.gateway.WorkerStage;

/**
 * The duty of giving orders to workers, which one VM has at a time: a key in the store
 * that hangs on the holder's registration, so that it lapses with the VM. Not
 * thread-safe; confined to the gateway's thread.
 * <p>
 * Invariants: the key is only ever created, so era and revision rise from holder to
 * holder and make the fencing number; a new holder does nothing for a turn, in which what
 * the former one still sent arrives.
 */
public final class Leadership {

	// The VMs ask for a free duty one after the other, ms: the first has it long before
	// the second asks, so that a fleet of hundreds makes one call and not hundreds.
	private static final long RANK_MS = 400;

	// After a free duty is noticed, ms: entries that were removed and written again at
	// once are no reason to ask.
	private static final long FREE_MS = 1_000;

	// VMs beyond this rank ask together, ms; so many are not cut off from the store at a
	// time without the rest being so.
	private static final long MOST_WAIT_MS = 8_000;

	// What a former holder has confirmed and sent arrives within this time, ms: it waits
	// a second for the store and half a second for the worker.
	private static final long MARGIN_MS = 1_500;

	private final Registry registry;

	private final VmRegistration registration;

	private final EntryVmDirectory vms;

	private final String self;

	private final long turnMs;

	private final LongSupplier clock;

	private RegistryChange.@Nullable LeaderElected held;

	private long since;

	private boolean asking;

	/**
	 * Creates a duty that nobody is known to hold.
	 * @param registry the registry
	 * @param registration this VM's registration
	 * @param vms the entry VMs
	 * @param self the key of this VM's registration
	 * @param turnMs how long the holders' orders have to be apart, in milliseconds
	 * @param clock the present time in milliseconds
	 */
	public Leadership(Registry registry, VmRegistration registration, EntryVmDirectory vms, String self, long turnMs,
			LongSupplier clock) {
		this.registry = registry;
		this.registration = registration;
		this.vms = vms;
		this.self = self;
		this.turnMs = turnMs;
		this.clock = clock;
		this.since = clock.getAsLong();
	}

	/**
	 * Takes what the store says of the holder.
	 * @param next the holder, or {@code null} if there is none
	 * @param now the present time in milliseconds
	 */
	void onLeader(RegistryChange.@Nullable LeaderElected next, long now) {
		if (Objects.equals(next, this.held)) {
			return;
		}
		this.held = next;
		this.since = now;
		Logger.info("[duty] holder={} fence={}", (next != null) ? next.vm() : "none",
				(next != null) ? next.electedAt().fencingToken() : 0);
	}

	/**
	 * Takes that the store has come back from an older copy: whoever holds the duty there
	 * does not know of it, or no longer does.
	 * @param now the present time in milliseconds
	 */
	void onStoreRestored(long now) {
		onLeader(null, now);
	}

	/**
	 * Asks for the duty if nobody holds it and it is this VM's turn to ask.
	 * @param now the present time in milliseconds
	 */
	public void claimIfVacant(long now) {
		long wait = Math.min(MOST_WAIT_MS, FREE_MS + RANK_MS * this.vms.rank(this.self, now));
		long lease = this.registration.activeLease();
		if (this.held != null || this.asking || lease == 0 || now - this.since < wait) {
			return;
		}
		this.asking = true;
		// Whether it was got is heard with all other changes: an answer may be lost.
		this.registry.claimLeadership(this.self, lease).subscribe((got) -> asked("got=" + got), (ex) -> asked(ex.toString()));
	}

	private void asked(String seen) {
		this.asking = false;
		this.since = this.clock.getAsLong();
		Logger.info("[duty] asked seen=\"{}\"", seen);
	}

	/**
	 * Tells whether this VM holds the duty, as far as it knows.
	 * @return whether it does
	 */
	boolean isLeader() {
		return this.held != null && this.held.vm().equals(this.self);
	}

	/**
	 * Tells whether this VM holds the duty and its first turn is over, as far as it
	 * knows.
	 * @param now the present time in milliseconds
	 * @return whether it may act
	 */
	public boolean mayAct(long now) {
		return isLeader() && now - this.since >= this.turnMs + MARGIN_MS;
	}

	/**
	 * Returns the fencing number of the holder.
	 * @return the number; 0 if there is no holder
	 */
	public long fencingToken() {
		return (this.held != null) ? this.held.electedAt().fencingToken() : 0;
	}

	/**
	 * Asks the store whether this VM still holds the duty. One that was paused or cut off
	 * for longer than its lease believes so without it, and another has taken over.
	 * @return whether it does
	 */
	public Mono<Boolean> confirm() {
		RegistryChange.LeaderElected mine = this.held;
		return this.registry.readLeader().map((d) -> d.isPresent() && d.get().vm().equals(this.self) && d.get().equals(mine));
	}

	/**
	 * Tells all VMs that a worker is about to change over.
	 * @param worker the worker
	 * @param stage what it is going to do
	 * @return whether this VM held the duty and the notice is in the store
	 */
	public Mono<Boolean> announceStageChange(String worker, WorkerStage stage) {
		StorePosition since = (this.held != null) ? this.held.electedAt() : StorePosition.NONE;
		return this.registry.announceStageChange(worker, stage, since, this.registration.activeLease());
	}

	/**
	 * Takes an announcement back.
	 * @param worker the worker
	 * @return when done
	 */
	public Mono<Void> withdrawStageChange(String worker) {
		return this.registry.withdrawStageChange(worker);
	}

}
