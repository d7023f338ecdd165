package io.shallotspur.admission;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * The times at which requests need a look. A timer is not taken back when its request
 * moves on: whoever gets it checks whether there is still something to do. Those of ended
 * requests are dropped when they come to the front. Not thread-safe.
 *
 * @param <T> the type of the requests
 */
public final class TimerQueue<T> {

	private final PriorityQueue<Timer<T>> queue = new PriorityQueue<>(
			Comparator.<Timer<T>>comparingLong(Timer::at).thenComparingLong(Timer::order));

	private final Predicate<T> ended;

	private long order;

	/**
	 * Creates an empty queue.
	 * @param ended whether a request has ended, so that its timers count no more
	 */
	public TimerQueue(Predicate<T> ended) {
		this.ended = ended;
	}

	/**
	 * Adds a timer.
	 * @param item the request
	 * @param at when it is due, in milliseconds
	 */
	public void add(T item, long at) {
		this.queue.add(new Timer<>(at, this.order++, item));
	}

	/**
	 * Takes the next timer that is due.
	 * @param now the present time in milliseconds
	 * @return its request, or {@code null} if none is due
	 */
	public @Nullable T poll(long now) {
		dropEnded();
		Timer<T> t = this.queue.peek();
		if (t == null || t.at() > now) {
			return null;
		}
		this.queue.poll();
		return t.item();
	}

	/**
	 * Returns when the next timer is due.
	 * @return the time in milliseconds, or {@link Long#MAX_VALUE} if there is none
	 */
	public long nextDueAt() {
		dropEnded();
		Timer<T> t = this.queue.peek();
		return (t != null) ? t.at() : Long.MAX_VALUE;
	}

	private void dropEnded() {
		Timer<T> t = this.queue.peek();
		while (t != null && this.ended.test(t.item())) {
			this.queue.poll();
			t = this.queue.peek();
		}
	}

	private record Timer<T>(long at, long order, T item) {

	}

}
