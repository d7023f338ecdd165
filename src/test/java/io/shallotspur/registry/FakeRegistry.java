package io.shallotspur.registry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

import io.shallotspur.exc.StoreUnavailableException;

/**
 * A registry whose answers the test gives by hand. A call that nothing was prepared for
 * stays open.
 */
final class FakeRegistry implements Registry {

	final Deque<RegistryNews> listings = new ArrayDeque<>();

	final List<Long> watchedAfter = new ArrayList<>();

	Sinks.One<RegistryNews> watch = Sinks.one();

	long lastWaitMs;

	int leases;

	int renewals;

	int registrations;

	boolean leaseThere = true;

	boolean away;

	@Nullable Long ended;

	@Override
	public Mono<RegistryNews> list() {
		RegistryNews n = this.listings.poll();
		return (n != null) ? Mono.just(n) : unavailable();
	}

	@Override
	public Mono<RegistryNews> changes(long after, long waitMs) {
		this.watchedAfter.add(after);
		this.lastWaitMs = waitMs;
		this.watch = Sinks.one();
		return this.watch.asMono();
	}

	@Override
	public Mono<Long> openLease(long ttlMs) {
		this.leases++;
		return this.away ? unavailable() : Mono.just((long) this.leases);
	}

	@Override
	public Mono<Boolean> renew(long lease) {
		this.renewals++;
		return this.away ? unavailable() : Mono.just(this.leaseThere);
	}

	@Override
	public Mono<Void> endLease(long lease) {
		this.ended = lease;
		return Mono.empty();
	}

	@Override
	public Mono<Boolean> register(RegistryChange.VmSeen vm, long lease) {
		this.registrations++;
		this.leaseThere = true;
		return Mono.just(true);
	}

	static <T> Mono<T> unavailable() {
		return Mono.error(new StoreUnavailableException("away", "test"));
	}

}
