package io.shallotspur.replay.fake;

import java.util.Comparator;
import java.util.PriorityQueue;

import org.jspecify.annotations.Nullable;

/**
 * Virtual time in microseconds. Not thread-safe.
 * <p>
 * Invariants: time never runs backwards, and events of the same instant run in the order
 * in which they were added, so a run depends on its input alone.
 */
public final class EventQueue {

	/**
	 * Microseconds in a millisecond.
	 */
	public static final long MS = 1000;

	private final PriorityQueue<Entry> entries = new PriorityQueue<>(
			Comparator.comparingLong(Entry::at).thenComparingLong(Entry::order));

	private long now;

	private long order;

	/**
	 * Returns the present virtual time.
	 * @return microseconds since the start of the trace
	 */
	public long now() {
		return this.now;
	}

	/**
	 * Returns the present virtual time as schedulers see it.
	 * @return whole milliseconds since the start of the trace
	 */
	public long nowMs() {
		return this.now / MS;
	}

	/**
	 * Adds an event.
	 * @param at when it happens, in microseconds; the past counts as now
	 * @param task what happens
	 */
	public void at(long at, Runnable task) {
		this.entries.add(new Entry(Math.max(at, this.now), this.order++, task));
	}

	/**
	 * Adds an event.
	 * @param delay how long from now, in microseconds
	 * @param task what happens
	 */
	public void after(long delay, Runnable task) {
		at(this.now + delay, task);
	}

	/**
	 * Runs events until there are none, or none before the end.
	 * @param end the last instant to run, in microseconds
	 */
	public void runUntil(long end) {
		@Nullable Entry e = this.entries.peek();
		while (e != null && e.at() <= end) {
			this.entries.poll();
			this.now = e.at();
			e.task().run();
			e = this.entries.peek();
		}
	}

	private record Entry(long at, long order, Runnable task) {

	}

}
