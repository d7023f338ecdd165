package io.shallotspur.replay;

import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;
import java.util.function.Supplier;

import io.shallotspur.replay.fake.EventQueue;

/**
 * Delivers events to a scheduler, carries out its actions, and wakes it when it asked for
 * it. Not thread-safe.
 *
 * @param <E> the events
 * @param <A> the actions
 */
final class SchedulerLoop<E, A> {

	private final EventQueue queue;

	private final Handler<E, A> handler;

	private final LongUnaryOperator nextWake;

	private final Supplier<E> tick;

	private final Consumer<A> actions;

	private long wakeAt = Long.MAX_VALUE;

	SchedulerLoop(EventQueue queue, Handler<E, A> handler, LongUnaryOperator nextWake, Supplier<E> tick,
			Consumer<A> actions) {
		this.queue = queue;
		this.handler = handler;
		this.nextWake = nextWake;
		this.tick = tick;
		this.actions = actions;
	}

	void deliver(E event) {
		long now = this.queue.nowMs();
		this.handler.handle(event, now, this.actions);
		long wake = this.nextWake.applyAsLong(now);
		if (wake != Long.MAX_VALUE) {
			arm(Math.max(wake, now + 1) * EventQueue.MS);
		}
	}

	private void arm(long at) {
		if (at >= this.wakeAt) {
			return;
		}
		this.wakeAt = at;
		this.queue.at(at, () -> {
			if (this.wakeAt == at) {
				this.wakeAt = Long.MAX_VALUE;
				deliver(this.tick.get());
			}
		});
	}

	/**
	 * The decision of a scheduler.
	 *
	 * @param <E> the events
	 * @param <A> the actions
	 */
	interface Handler<E, A> {

		void handle(E event, long now, Consumer<A> out);

	}

}
