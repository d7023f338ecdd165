package io.shallotspur.registry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.gateway.EngineFigures;
import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.route.RouteTable;

/**
 * A registry whose answers the test gives by hand. A call that nothing was prepared for
 * stays open.
 */
public final class FakeRegistry implements Registry {

	/** What the next listings bring. */
	public final Deque<RegistryNews> listings = new ArrayDeque<>();

	final List<Long> watchedAfter = new ArrayList<>();

	Sinks.One<RegistryNews> watch = Sinks.one();

	long lastWaitMs;

	/** What is announced of workers. */
	public final Map<String, WorkerStage> marks = new HashMap<>();

	/** Who holds the duty. */
	public RegistryChange.@Nullable DutyHeld holder;

	int claims;

	int configurationReads;

	/** Answers the latest question for the configuration. */
	public Sinks.One<RouteTable> configurations = Sinks.one();

	int leases;

	int renewals;

	int registrations;

	final Map<String, RegistryChange.FiguresSeen> figures = new HashMap<>();

	private long revision = 100;

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
	public Mono<RouteTable> configuration() {
		this.configurationReads++;
		return this.configurations.asMono();
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
	public Mono<Boolean> register(EntryVm vm, long lease) {
		this.registrations++;
		this.leaseThere = true;
		return Mono.just(true);
	}

	@Override
	public Mono<Boolean> claim(String vm, long lease) {
		this.claims++;
		return this.away ? unavailable() : Mono.just(true);
	}

	@Override
	public Mono<Optional<RegistryChange.DutyHeld>> duty() {
		return this.away ? unavailable() : Mono.just(Optional.ofNullable(this.holder));
	}

	@Override
	public Mono<Boolean> mark(String worker, WorkerStage stage, long fence, long lease) {
		boolean mine = this.holder != null && this.holder.revision() == fence;
		if (mine) {
			this.marks.put(worker, stage);
		}
		return this.away ? unavailable() : Mono.just(mine);
	}

	@Override
	public Mono<Boolean> tell(String upstream, EngineFigures figures, long revision) {
		if (this.away) {
			return unavailable();
		}
		RegistryChange.FiguresSeen old = this.figures.get(upstream);
		if (revision != ((old != null) ? old.revision() : 0)) {
			return Mono.just(false);
		}
		this.figures.put(upstream, new RegistryChange.FiguresSeen(upstream, figures, ++this.revision));
		return Mono.just(true);
	}

	@Override
	public Mono<Void> unmark(String worker) {
		this.marks.remove(worker);
		return Mono.empty();
	}

	static <T> Mono<T> unavailable() {
		return Mono.error(new StoreUnavailableException("away", "test"));
	}

}
