package io.shallotspur.registry;

import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;

import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.GatewayTimer;
import io.shallotspur.gateway.RegistrationListener;
import io.shallotspur.serving.LoadLevel;

/**
 * Keeps this VM registered in the store for as long as it accepts callers. Not
 * thread-safe; confined to the gateway's thread.
 * <p>
 * A dead VM must not be returned to callers for long, so the registration is attached to
 * a lease. A VM whose lease expired (because of a pause or a store outage) registers
 * again.
 */
public final class VmRegistration {

	/** How long the registration outlives a dead VM, in milliseconds. */
	private static final long LEASE_TTL_MS = 3_000;

	// Three renewals per lease; one or two of them may be lost.
	private static final long RENEW_MS = 1_000;

	private static final long RETRY_MS = 700;

	private final Registry registry;

	private EntryVm vm;

	private final GatewayTimer timer;

	private long lease;

	// When the call was sent that opened the lease or last renewed it.
	private long leaseConfirmedAt;

	// Number of restores of the store; a lease from before a restore is no longer valid.
	private long restores;

	private boolean registering;

	private boolean deregistered;

	private Runnable noAnswerListener = () -> {
	};

	private LongConsumer answerListener = (ageMs) -> {
	};

	private @Nullable RegistrationListener listener;

	private LongSupplier elapsed = () -> 0;

	// At most one timer is pending; a second chain of renewals would double the calls.
	private Runnable cancelTimer = () -> {
	};

	/**
	 * Creates an instance that is not registered yet.
	 * @param registry the registry
	 * @param vm the VM to register
	 * @param timer the gateway's timer
	 */
	public VmRegistration(Registry registry, EntryVm vm, GatewayTimer timer) {
		this.registry = registry;
		this.vm = vm;
		this.timer = timer;
	}

	/**
	 * Sets the listener for unanswered calls to the store.
	 * @param listener called for each of them
	 */
	public void setNoAnswerListener(Runnable listener) {
		this.noAnswerListener = listener;
	}

	/**
	 * Sets the listener for answered renewals.
	 * @param listener called for each of them with the time since it was sent, in
	 * milliseconds
	 */
	public void setAnswerListener(LongConsumer listener) {
		this.answerListener = listener;
	}

	/**
	 * Sets the listener for changes of the registration.
	 * @param l told of each change
	 * @param elapsedMs supplies the time that the listener expects
	 */
	public void setListener(RegistrationListener l, LongSupplier elapsedMs) {
		this.listener = l;
		this.elapsed = elapsedMs;
	}

	/**
	 * Sets the addresses that this VM listens at. Must be called before it registers.
	 * @param bound this VM with its addresses
	 */
	public void setVm(EntryVm bound) {
		this.vm = bound;
	}

	/**
	 * Registers, or registers again. Does nothing while a registration is in progress.
	 */
	public void start() {
		if (this.registering || this.deregistered) {
			return;
		}
		this.registering = true;
		this.cancelTimer.run();
		long n = this.restores;
		long sentAt = this.elapsed.getAsLong();
		this.registry.openLease(LEASE_TTL_MS)
			.flatMap((l) -> this.registry.registerVm(this.vm, l).map((ok) -> (ok && n == this.restores) ? l : 0))
			.subscribe((l) -> onRegistered(l, sentAt), this::onRegistrationFailed);
	}

	/**
	 * Handles a restore of the store from an older snapshot. The store has lost the
	 * lease, or has assigned its number to another VM, so it must be neither renewed nor
	 * revoked.
	 * @param spreadMs how long to wait before registering again, in milliseconds
	 */
	public void onStoreRestored(long spreadMs) {
		this.restores++;
		this.lease = 0;
		if (!this.deregistered) {
			schedule(spreadMs, this::start);
		}
	}

	/**
	 * Publishes the load of this VM. It is written immediately if the VM is registered,
	 * else with the next registration. A write that fails is not retried; the store then
	 * keeps the earlier value until the next change or registration.
	 * @param level the load
	 */
	public void setLoadLevel(LoadLevel level) {
		this.vm = this.vm.withLoadLevel(level);
		long l = activeLease();
		if (l == 0) {
			return;
		}
		this.registry.registerVm(this.vm, l)
			.subscribe(
					(ok) -> Logger.info("[registry] published load vm={} crowded={} level={} done={}", this.vm.key(),
							this.vm.overloaded(), level.ordinal(), ok),
					(ex) -> Logger.warn("[registry] not published load vm={} crowded={} level={} seen=\"{}\"",
							this.vm.key(), this.vm.overloaded(), level.ordinal(), ex.toString()));
	}

	/**
	 * Returns the lease that the registration is attached to.
	 * @return its number, or 0 if there is none at present
	 */
	long activeLease() {
		return (this.registering || this.deregistered) ? 0 : this.lease;
	}

	/**
	 * Returns for how long the registration lasts at least, and with it all that is
	 * attached to its lease.
	 * @return milliseconds; 0 or less if it may have ended
	 */
	long leaseRemainingMs() {
		return (activeLease() != 0) ? this.leaseConfirmedAt + LEASE_TTL_MS - this.elapsed.getAsLong() : 0;
	}

	private void onRegistered(long l, long sentAt) {
		boolean ok = l != 0;
		if (ok && this.listener != null) {
			this.listener.onRegistered(sentAt, LEASE_TTL_MS);
		}
		this.lease = l;
		this.leaseConfirmedAt = sentAt;
		this.registering = false;
		Logger.info("[registry] registered vm={} lease={} done={}", this.vm.key(), this.lease, ok);
		if (this.deregistered) {
			deregister().subscribe();
		}
		else {
			schedule(ok ? RENEW_MS : RETRY_MS, ok ? this::renew : this::start);
		}
	}

	private void onRegistrationFailed(Throwable ex) {
		this.registering = false;
		Logger.warn("[registry] not registered vm={} seen=\"{}\"", this.vm.key(), ex.toString());
		schedule(RETRY_MS, this::start);
	}

	private void renew() {
		if (this.deregistered || this.registering) {
			return;
		}
		long l = this.lease;
		long sentAt = this.elapsed.getAsLong();
		this.registry.renewLease(l).subscribe((exists) -> onRenewed(exists, l, sentAt), (ex) -> onRenewalFailed(ex, l));
	}

	private void onRenewed(boolean exists, long l, long sentAt) {
		this.answerListener.accept(this.elapsed.getAsLong() - sentAt);
		if (l != this.lease || this.deregistered) {
			return;
		}
		if (exists) {
			this.leaseConfirmedAt = sentAt;
			if (this.listener != null) {
				this.listener.onRenewed(sentAt, LEASE_TTL_MS);
			}
			schedule(RENEW_MS, this::renew);
		}
		else {
			Logger.warn("[registry] lease expired vm={} lease={}", this.vm.key(), l);
			start();
		}
	}

	private void onRenewalFailed(Throwable ex, long l) {
		Logger.warn("[registry] lease renewal failed vm={} seen=\"{}\"", this.vm.key(), ex.toString());
		this.noAnswerListener.run();
		if (!this.registering && l == this.lease) {
			schedule(RETRY_MS, this::renew);
		}
	}

	private void schedule(long ms, Runnable task) {
		this.cancelTimer.run();
		this.cancelTimer = this.timer.schedule(ms, task);
	}

	/**
	 * Ends the registration permanently.
	 * @return completes when the lease is revoked or the attempt has failed
	 */
	public Mono<Void> deregister() {
		this.deregistered = true;
		if (this.listener != null) {
			this.listener.onDeregistered();
		}
		if (this.lease == 0) {
			return Mono.empty();
		}
		return this.registry.revokeLease(this.lease).onErrorResume((ex) -> {
			// The lease expires without this a few seconds later.
			Logger.warn("[registry] lease not revoked vm={} seen=\"{}\"", this.vm.key(), ex.toString());
			return Mono.empty();
		});
	}

}
