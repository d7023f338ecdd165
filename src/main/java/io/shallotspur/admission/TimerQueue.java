package io.shallotspur.admission;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * Priority queue of the times at which requests have to be checked. Timers are not
 * cancelled when the state of their request changes, so the caller of {@link #poll} has
 * to check whether there is still something to do. Timers of completed requests are
 * discarded when they reach the head of the queue. Not thread-safe.
 *
 * @param <T> the type of the requests
 */
public final class TimerQueue<T> {

	private final PriorityQueue<Timer<T>> queue = new PriorityQueue<>(
			Comparator.<Timer<T>>comparingLong(Timer::dueAt).thenComparingLong(Timer::sequence));

	private final Predicate<T> completed;

	private long nextSequence;

	/**
	 * Creates an empty queue.
	 * @param completed whether a request is complete, so that its timers are discarded
	 */
	public TimerQueue(Predicate<T> completed) {
		this.completed = completed;
	}

	/**
	 * Adds a timer.
	 * @param item the request
	 * @param dueAt when the timer is due, in milliseconds
	 */
	public void add(T item, long dueAt) {
		this.queue.add(new Timer<>(dueAt, this.nextSequence++, item));
	}

	/**
	 * Removes the next timer that is due.
	 * @param now the current time in milliseconds
	 * @return the request of the timer, or {@code null} if none is due
	 */
	public @Nullable T poll(long now) {
		discardCompleted();
		Timer<T> timer = this.queue.peek();
		if (timer == null || timer.dueAt() > now) {
			return null;
		}
		this.queue.poll();
		return timer.item();
	}

	/**
	 * Returns when the next timer is due.
	 * @return the time in milliseconds, or {@link Long#MAX_VALUE} if there is none
	 */
	public long nextDueAt() {
		discardCompleted();
		Timer<T> timer = this.queue.peek();
		return (timer != null) ? timer.dueAt() : Long.MAX_VALUE;
	}

	private void discardCompleted() {
		Timer<T> timer = this.queue.peek();
		while (timer != null && this.completed.test(timer.item())) {
			this.queue.poll();
			timer = this.queue.peek();
		}
	}

	private record Timer<T>(long dueAt, long sequence, T item) {

	}

}
