package io.shallotspur.replay;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import org.jspecify.annotations.Nullable;

import io.shallotspur.cell.CellEvent;
import io.shallotspur.replay.fake.EventQueue;
import io.shallotspur.replay.fake.PrefixCache.Prefix;

/**
 * What engines publish about themselves, late and with gaps. Not thread-safe.
 */
final class EngineReports {

	/**
	 * The load of a worker that is down.
	 */
	static final int DOWN = -1;

	private final EventQueue queue;

	private final Random random;

	private final Consumer<CellEvent> target;

	private final Map<String, Long> sequences = new HashMap<>();

	private final Map<String, Step> lastSteps = new HashMap<>();

	EngineReports(EventQueue queue, long seed, Consumer<CellEvent> target) {
		this.queue = queue;
		this.random = new Random(seed);
		this.target = target;
	}

	/**
	 * Reports the load of a worker until the end.
	 * @param worker the worker
	 * @param load returns the requests it holds, or {@link #DOWN}
	 * @param end when the reports stop, in microseconds
	 */
	void follow(String worker, IntSupplier load, long end) {
		this.queue.after(Timing.REPORT_INTERVAL, () -> {
			if (this.queue.now() < end) {
				report(worker, load.getAsInt());
				follow(worker, load, end);
			}
		});
	}

	/**
	 * Notes the last step of a decode worker.
	 * @param worker the worker
	 * @param batch the requests in it
	 * @param ms its length in milliseconds
	 */
	void stepDone(String worker, int batch, double ms) {
		this.lastSteps.put(worker, new Step(batch, ms));
	}

	/**
	 * Publishes that a preamble entered or left the cache, block by block.
	 * @param worker the prefill worker
	 * @param prefix the preamble
	 * @param stored {@code true} if it entered
	 */
	void cacheChanged(String worker, Prefix prefix, boolean stored) {
		for (long block : PromptHash.blocksOf(prefix)) {
			long seq = this.sequences.merge(worker, 1L, Long::sum);
			if (!isLost()) {
				later(new CellEvent.CacheChange(worker, seq, block, stored), null);
			}
		}
	}

	private void report(String worker, int active) {
		if (active == DOWN || isLost()) {
			return;
		}
		Step s = this.lastSteps.remove(worker);
		CellEvent step = (s != null) ? new CellEvent.StepObserved(worker, s.batch(), s.ms()) : null;
		later(new CellEvent.LoadReport(worker, active, this.queue.nowMs()), step);
	}

	private boolean isLost() {
		return this.random.nextDouble() < Timing.REPORT_LOSS;
	}

	private void later(CellEvent event, @Nullable CellEvent next) {
		this.queue.after(Timing.REPORT_LAG, () -> {
			this.target.accept(event);
			if (next != null) {
				this.target.accept(next);
			}
		});
	}

	private record Step(int batch, double ms) {

	}

}
