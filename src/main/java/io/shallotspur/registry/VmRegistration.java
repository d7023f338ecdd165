package io.shallotspur.registry;

import org.tinylog.Logger;
import reactor.core.publisher.Mono;

import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.GatewayTimer;

/**
 * Keeps this VM's registration in the store for as long as it takes callers. Not
 * thread-safe; confined to the gateway's thread.
 * <p>
 * A VM that dies must not be handed to callers for long, so the registration hangs on a
 * lease. One whose lease lapsed (a pause, a store that was away) registers again.
 */
public final class VmRegistration {

	/** How long the registration outlives a VM that dies, in milliseconds. */
	private static final long TTL_MS = 3_000;

	// Three renewals in a lease: one or two may be lost.
	private static final long RENEW_MS = 1_000;

	private static final long RETRY_MS = 700;

	private final Registry registry;

	private EntryVm vm;

	private final GatewayTimer timer;

	private long lease;

	// Counts the returns of the store from a copy; a lease of before one is not ours.
	private long restores;

	private boolean registering;

	private boolean ended;

	private Runnable onNoAnswer = () -> {
	};

	// At most one timer is pending; a second chain of renewals would double the calls.
	private Runnable cancelTimer = () -> {
	};

	/**
	 * Creates a registration that is not yet made.
	 * @param registry the registry
	 * @param vm what is registered
	 * @param timer the gateway's timer
	 */
	public VmRegistration(Registry registry, EntryVm vm, GatewayTimer timer) {
		this.registry = registry;
		this.vm = vm;
		this.timer = timer;
	}

	/**
	 * Says who is to hear that the store did not answer.
	 * @param then called each time
	 */
	public void setNoAnswerListener(Runnable then) {
		this.onNoAnswer = then;
	}

	/**
	 * Registers, or registers again. Does nothing while a registration is being made.
	 */
	public void start() {
		if (this.registering || this.ended) {
			return;
		}
		this.registering = true;
		this.cancelTimer.run();
		long n = this.restores;
		this.registry.openLease(TTL_MS)
			.flatMap((l) -> this.registry.registerVm(this.vm, l).map((ok) -> (ok && n == this.restores) ? l : 0))
			.subscribe(this::registered, this::failed);
	}

	/**
	 * Takes that the store has come back from an older copy. The lease is gone there, or
	 * its number is another one's by now, which must neither be renewed nor ended.
	 * @param spreadMs how long to wait before registering again, in milliseconds
	 */
	public void onStoreRestored(long spreadMs) {
		this.restores++;
		this.lease = 0;
		if (!this.ended) {
			later(spreadMs, this::start);
		}
	}

	/**
	 * Says whether callers wait for this VM. The others hear it at once if the
	 * registration stands, else with the next one; a telling that is lost is told again
	 * with the next change.
	 * @param crowded whether they do
	 */
	public void setCrowded(boolean crowded) {
		this.vm = this.vm.withOverloaded(crowded);
		long l = activeLease();
		if (l == 0) {
			return;
		}
		this.registry.registerVm(this.vm, l)
			.subscribe((ok) -> Logger.info("[registry] told vm={} crowded={} done={}", this.vm.key(), crowded, ok),
					(ex) -> Logger.warn("[registry] not told vm={} crowded={} seen=\"{}\"", this.vm.key(), crowded,
							ex.toString()));
	}

	/**
	 * Returns the lease that the registration hangs on.
	 * @return its number, or 0 while there is none
	 */
	long activeLease() {
		return (this.registering || this.ended) ? 0 : this.lease;
	}

	private void registered(long l) {
		boolean ok = l != 0;
		this.lease = l;
		this.registering = false;
		Logger.info("[registry] registered vm={} lease={} done={}", this.vm.key(), this.lease, ok);
		if (this.ended) {
			deregister().subscribe();
		}
		else {
			later(ok ? RENEW_MS : RETRY_MS, ok ? this::renew : this::start);
		}
	}

	private void failed(Throwable ex) {
		this.registering = false;
		Logger.warn("[registry] not registered vm={} seen=\"{}\"", this.vm.key(), ex.toString());
		later(RETRY_MS, this::start);
	}

	private void renew() {
		if (this.ended || this.registering) {
			return;
		}
		long l = this.lease;
		this.registry.renewLease(l).subscribe((there) -> renewed(there, l), (ex) -> notRenewed(ex, l));
	}

	private void renewed(boolean there, long l) {
		if (l != this.lease) {
			return;
		}
		if (there) {
			later(RENEW_MS, this::renew);
		}
		else {
			Logger.warn("[registry] lease lapsed vm={} lease={}", this.vm.key(), l);
			start();
		}
	}

	private void notRenewed(Throwable ex, long l) {
		Logger.warn("[registry] lease not renewed vm={} seen=\"{}\"", this.vm.key(), ex.toString());
		this.onNoAnswer.run();
		if (!this.registering && l == this.lease) {
			later(RETRY_MS, this::renew);
		}
	}

	private void later(long ms, Runnable task) {
		this.cancelTimer.run();
		this.cancelTimer = this.timer.schedule(ms, task);
	}

	/**
	 * Ends the registration for good.
	 * @return completes when the store knows, or could not be told
	 */
	public Mono<Void> deregister() {
		this.ended = true;
		if (this.lease == 0) {
			return Mono.empty();
		}
		return this.registry.revokeLease(this.lease).onErrorResume((ex) -> {
			// The lease lapses by itself a few seconds later.
			Logger.warn("[registry] lease not ended vm={} seen=\"{}\"", this.vm.key(), ex.toString());
			return Mono.empty();
		});
	}

}
