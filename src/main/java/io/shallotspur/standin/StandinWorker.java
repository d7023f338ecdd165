package io.shallotspur.standin;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tinylog.Logger;
import reactor.core.scheduler.Scheduler;

import io.shallotspur.fleet.Worker;

/**
 * What the imitated workers have in common. Confined to the stand-in's thread.
 */
abstract class StandinWorker {

	private final Worker worker;

	private final Scheduler thread;

	private final LongSupplier clock;

	private final WorkerReports reports;

	private boolean down;

	private long life;

	private int crashes;

	private long fencingToken;

	private int orders;

	StandinWorker(Worker worker, EngineStandinSettings s, Scheduler thread, LongSupplier clock) {
		this.worker = worker;
		this.thread = thread;
		this.clock = clock;
		this.reports = new WorkerReports(thread, s.lagMs(), s.cacheGapEvery());
	}

	/**
	 * Returns the requests that hold memory.
	 * @return the number
	 */
	abstract int active();

	/**
	 * Returns the length of the last decode step.
	 * @return milliseconds, or 0
	 */
	abstract double stepMs();

	/**
	 * Lists the streams that the worker holds anything for.
	 * @return their ids
	 */
	abstract List<String> streams();

	/**
	 * Drops all that is held for a stream.
	 * @param streamId the stream
	 */
	abstract void cancel(String streamId);

	/**
	 * Drops everything, as a crash does.
	 */
	abstract void clear();

	/**
	 * Adds what is held and what was run.
	 * @param n the state of the worker
	 */
	abstract void describe(ObjectNode n);

	final Worker worker() {
		return this.worker;
	}

	final WorkerReports reports() {
		return this.reports;
	}

	final long now() {
		return this.clock.getAsLong();
	}

	/**
	 * Runs a task after a while, unless the worker crashes before.
	 * @param task the task
	 * @param delayMs how long to wait, in milliseconds
	 */
	final void later(Runnable task, double delayMs) {
		long then = this.life;
		this.thread.schedule(() -> {
			if (then == this.life) {
				task.run();
			}
		}, Math.round(delayMs * 1000), TimeUnit.MICROSECONDS);
	}

	final void checkUp() {
		if (this.down) {
			throw StandinFault.crashed();
		}
	}

	final void crash(long downMs) {
		Logger.info("[standin] {} crashes.", this.worker.id());
		this.down = true;
		this.life++;
		this.crashes++;
		clear();
		this.reports.crash();
		later(() -> this.down = false, downMs);
	}

	final void order(long token, boolean checkFencing) {
		checkUp();
		if (checkFencing && token < this.fencingToken) {
			throw StandinFault.refused("The fencing number is old.");
		}
		this.fencingToken = Math.max(this.fencingToken, token);
		this.orders++;
	}

	final String load() {
		return "{\"active\":" + active() + ",\"slots\":" + this.worker.slots() + ",\"step_ms\":" + stepMs()
				+ ",\"measured_at\":" + now() + "}";
	}

	final ObjectNode state() {
		ObjectNode n = JsonNodeFactory.instance.objectNode();
		n.put("role", this.worker.role().name());
		n.put("down", this.down);
		n.put("crashes", this.crashes);
		n.put("orders", this.orders);
		n.put("active", active());
		streams().forEach(n.putArray("streams")::add);
		describe(n);
		return n;
	}

}
