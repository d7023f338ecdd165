package io.shallotspur.replay.fake;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongConsumer;

/**
 * A fake worker of a plain service: a fixed number of calls at a time, each of the same
 * length, the rest first come first served. Not thread-safe.
 * <p>
 * Invariant: a call ends in exactly one of done, cancelled and lost in a crash.
 */
public final class PlainEngine {

	private final EventQueue queue;

	private final int concurrency;

	private final double serviceMs;

	private final LongConsumer onStart;

	private final LongConsumer onDone;

	private final Deque<Long> waiting = new ArrayDeque<>();

	private final Set<Long> serving = new LinkedHashSet<>();

	private boolean up = true;

	/**
	 * Creates an idle worker.
	 * @param queue virtual time
	 * @param concurrency calls that it serves at a time
	 * @param serviceMs time of one call, in milliseconds
	 * @param onStart is told the attempt when a call begins to run
	 * @param onDone is told the attempt when a call is answered
	 */
	public PlainEngine(EventQueue queue, int concurrency, double serviceMs, LongConsumer onStart, LongConsumer onDone) {
		this.queue = queue;
		this.concurrency = concurrency;
		this.serviceMs = serviceMs;
		this.onStart = onStart;
		this.onDone = onDone;
	}

	/**
	 * Kills the process.
	 * @return the attempts that were lost with it, in order of their arrival
	 */
	public List<Long> crash() {
		this.up = false;
		List<Long> lost = new ArrayList<>(this.serving);
		lost.addAll(this.waiting);
		this.serving.clear();
		this.waiting.clear();
		return lost;
	}

	/**
	 * Starts the process again, empty.
	 */
	public void restart() {
		this.up = true;
	}

	/**
	 * Returns whether the process runs.
	 * @return whether it is up
	 */
	public boolean isUp() {
		return this.up;
	}

	/**
	 * Returns whether an attempt is served or waits here.
	 * @param attempt the attempt
	 * @return whether it is held
	 */
	public boolean holds(long attempt) {
		return this.serving.contains(attempt) || this.waiting.contains(attempt);
	}

	/**
	 * Takes a call. The worker must be up.
	 * @param attempt the attempt
	 */
	public void submit(long attempt) {
		this.waiting.add(attempt);
		startNext();
	}

	/**
	 * Drops a call.
	 * @param attempt the attempt
	 */
	public void cancel(long attempt) {
		this.waiting.remove(attempt);
		this.serving.remove(attempt);
		startNext();
	}

	private void startNext() {
		while (this.serving.size() < this.concurrency && !this.waiting.isEmpty()) {
			long a = this.waiting.remove();
			this.serving.add(a);
			this.onStart.accept(a);
			this.queue.after(Math.round(this.serviceMs * EventQueue.MS), () -> finish(a));
		}
	}

	private void finish(long attempt) {
		if (this.serving.remove(attempt)) {
			this.onDone.accept(attempt);
			startNext();
		}
	}

}
