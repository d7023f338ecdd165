package io.shallotspur.transit;

import java.util.Comparator;
import java.util.PriorityQueue;

import org.jspecify.annotations.Nullable;

/**
 * The timers of an event loop that also run between two sockets of one round. A round of
 * a loop that is behind takes seconds, and timers that run only at its end would answer
 * requests as much after their time limit. Not thread-safe; confined to the event loop.
 * <p>
 * Invariants: a timer runs once at most and not once it is cancelled; {@link #runDue}
 * runs none before it is due. A cancelled timer is kept, without its task, until it is
 * due.
 */
public final class DueTimers {

	private final PriorityQueue<Timer> timers = new PriorityQueue<>(Comparator.comparingLong((t) -> t.dueAt));

	/**
	 * Adds a timer.
	 * @param dueAt when it is due, in milliseconds
	 * @param task the task
	 * @return the timer; the loop also runs it at the end of its round, which has no
	 * effect if it has run
	 */
	public Timer add(long dueAt, Runnable task) {
		Timer t = new Timer(dueAt, task);
		this.timers.add(t);
		return t;
	}

	/**
	 * Runs all timers that are due.
	 * @param now the present time in milliseconds
	 */
	public void runDue(long now) {
		Timer t = this.timers.peek();
		while (t != null && (t.dueAt <= now || t.task == null)) {
			this.timers.poll();
			t.run();
			t = this.timers.peek();
		}
	}

	/**
	 * A timer. Not thread-safe; confined to the event loop.
	 */
	public static final class Timer implements Runnable {

		private final long dueAt;

		private @Nullable Runnable task;

		private Timer(long dueAt, Runnable task) {
			this.dueAt = dueAt;
			this.task = task;
		}

		@Override
		public void run() {
			Runnable t = this.task;
			this.task = null;
			if (t != null) {
				t.run();
			}
		}

		/**
		 * Cancels the timer and drops its task.
		 */
		public void cancel() {
			this.task = null;
		}

	}

}
