package io.shallotspur.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.util.retry.Retry;

import io.shallotspur.cell.CellEvent;
import io.shallotspur.exc.EngineLostException;
import io.shallotspur.fleet.Worker;
import io.shallotspur.port.Engine;
import io.shallotspur.port.EngineReport;

/**
 * Follows the reports of a cell's workers and turns them into events. A worker is up from
 * its first report until its reports break off. Confined to the thread of the cell's
 * loop, but for the reports themselves.
 */
final class WorkerWatch {

	private static final Duration RETRY_FIRST = Duration.ofMillis(100);

	private static final Duration RETRY_LAST = Duration.ofSeconds(2);

	private final Engine engine;

	private final Consumer<CellEvent> out;

	private final Map<String, Disposable> watches = new HashMap<>();

	private final Map<String, AtomicBoolean> up = new ConcurrentHashMap<>();

	WorkerWatch(Engine engine, Consumer<CellEvent> out) {
		this.engine = engine;
		this.out = out;
	}

	void set(List<Worker> workers) {
		List<String> ids = workers.stream().map(Worker::id).toList();
		for (String id : List.copyOf(this.watches.keySet())) {
			if (!ids.contains(id)) {
				this.out.accept(new CellEvent.WorkerLeaving(id));
			}
		}
		workers.forEach((w) -> this.watches.computeIfAbsent(w.id(), (id) -> follow(w)));
	}

	void close() {
		this.watches.values().forEach(Disposable::dispose);
		this.watches.clear();
	}

	/**
	 * Takes the news that a worker does not answer. Any thread may bring it. The next
	 * report brings the worker back.
	 * @param worker the worker
	 */
	void lost(String worker) {
		AtomicBoolean b = this.up.get(worker);
		if (b != null && b.compareAndSet(true, false)) {
			Logger.warn("[node] Worker {} is lost.", worker);
			this.out.accept(new CellEvent.WorkerDown(worker));
		}
	}

	private Disposable follow(Worker w) {
		AtomicBoolean b = this.up.computeIfAbsent(w.id(), (id) -> new AtomicBoolean());
		return this.engine.reports(w)
			.doOnNext((r) -> take(w, r, b))
			.then(Mono.error(new EngineLostException("The reports ended.", w.id())))
			.doOnError((ex) -> lost(w.id()))
			.retryWhen(Retry.backoff(Long.MAX_VALUE, RETRY_FIRST).maxBackoff(RETRY_LAST).transientErrors(true))
			.subscribe();
	}

	private void take(Worker w, EngineReport report, AtomicBoolean isUp) {
		if (isUp.compareAndSet(false, true)) {
			Logger.info("[node] Worker {} is up.", w.id());
			this.out.accept(new CellEvent.WorkerUp(w));
		}
		if (report instanceof EngineReport.Load l) {
			this.out.accept(new CellEvent.LoadReport(w.id(), l.active(), l.measuredAt()));
			if (l.stepMs() > 0 && l.active() > 0) {
				this.out.accept(new CellEvent.StepObserved(w.id(), l.active(), l.stepMs()));
			}
		}
		else if (report instanceof EngineReport.Cache c) {
			this.out.accept(new CellEvent.CacheChange(w.id(), c.sequence(), c.block(), c.stored()));
		}
	}

}
