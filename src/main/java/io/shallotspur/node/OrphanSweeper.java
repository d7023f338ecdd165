package io.shallotspur.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;

/**
 * Sweeps the workers of the cells that this VM owns, one after the other. Thread-safe:
 * sweeps do not overlap.
 */
final class OrphanSweeper {

	private final NodePorts ports;

	private final CellHost cells;

	private final StreamAdoptions adoptions;

	private final Incarnations incarnations;

	private final StreamCanceller canceller;

	private final long graceMs;

	private final Map<String, OrphanSweep> sweeps = new HashMap<>();

	private @Nullable Disposable loop;

	OrphanSweeper(NodePorts ports, CellHost cells, StreamAdoptions adoptions, Incarnations incarnations, long graceMs) {
		this.ports = ports;
		this.cells = cells;
		this.adoptions = adoptions;
		this.incarnations = incarnations;
		this.canceller = new StreamCanceller(ports);
		this.graceMs = graceMs;
	}

	/**
	 * Begins to sweep.
	 * @param every the pause between sweeps
	 */
	void start(Duration every) {
		this.loop = Mono.defer(this::sweep).then(Mono.delay(every)).repeat().subscribe();
	}

	void close() {
		if (this.loop != null) {
			this.loop.dispose();
		}
	}

	private Mono<Void> sweep() {
		List<Worker> workers = this.cells.owned()
			.stream()
			.flatMap((a) -> a.workers().stream())
			.filter((w) -> w.role() != WorkerRole.PLAIN)
			.toList();
		this.sweeps.keySet().retainAll(workers.stream().map(Worker::id).toList());
		return Flux.fromIterable(workers).concatMap(this::sweep).then();
	}

	private Mono<Void> sweep(Worker w) {
		return this.ports.engine()
			.streams(w)
			.doOnNext((ids) -> cancel(w, ids))
			.then()
			.onErrorResume((ex) -> Mono
				.fromRunnable(() -> Logger.debug("[node] {} was not swept: {}.", w.id(), ex.getMessage())));
	}

	private void cancel(Worker w, List<String> ids) {
		long now = this.ports.clock().getAsLong();
		OrphanSweep s = this.sweeps.computeIfAbsent(w.id(),
				(x) -> new OrphanSweep(this.ports.vm(), this.ports.incarnation(), this.graceMs));
		List<String> orphans = s.decide(ids, this.cells::runs, (x) -> this.adoptions.isAdopted(x, now),
				this.incarnations, now);
		orphans.forEach((x) -> {
			Logger.info("[node] Stream {} on {} has no caller and is cancelled.", x, w.id());
			this.canceller.cancel(w.id(), x);
		});
	}

}
