package io.shallotspur.demo;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/**
 * A clock that only moves when told to, and the tasks that are due on it. Not
 * thread-safe: one thread advances it and runs all tasks, in order of time and then of
 * planning, so that a run with the same seed is the same run.
 */
public final class VirtualTime {

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingLong(Task::at).thenComparingLong(Task::sequence));

	private long now;

	private long sequence;

	/**
	 * Creates a clock.
	 * @param now the first moment, in milliseconds
	 */
	public VirtualTime(long now) {
		this.now = now;
	}

	/**
	 * Returns the present time.
	 * @return the time in milliseconds
	 */
	public long now() {
		return this.now;
	}

	/**
	 * Plans a task.
	 * @param delayMs after this time, in milliseconds
	 * @param run the task
	 */
	public void after(long delayMs, Runnable run) {
		this.tasks.add(new Task(this.now + Math.max(0, delayMs), this.sequence++, run));
	}

	/**
	 * Runs all that is due within some time.
	 * @param ms the time in milliseconds
	 */
	public void advance(long ms) {
		long end = this.now + ms;
		advanceUntil(() -> false, ms);
		this.now = end;
	}

	/**
	 * Runs what is due until a condition holds.
	 * @param condition the condition, checked when a moment is over
	 * @param limitMs the longest time, in milliseconds
	 * @return whether the condition held in time
	 */
	public boolean advanceUntil(BooleanSupplier condition, long limitMs) {
		long end = this.now + limitMs;
		while (true) {
			Task t = this.tasks.peek();
			boolean momentOver = t == null || t.at() > this.now;
			if (momentOver && condition.getAsBoolean()) {
				return true;
			}
			if (t == null || t.at() > end) {
				return false;
			}
			this.tasks.poll();
			this.now = t.at();
			t.run().run();
		}
	}

	private record Task(long at, long sequence, Runnable run) {

	}

}
