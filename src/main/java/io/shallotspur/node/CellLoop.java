package io.shallotspur.node;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.LongUnaryOperator;

import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/**
 * Runs one state machine: delivers events one at a time, carries out the actions, and
 * wakes the machine when it asked for it. Thread-safe: any thread submits, one thread of
 * the scheduler delivers.
 *
 * @param <E> the events
 * @param <A> the actions
 */
final class CellLoop<E, A> implements Disposable {

	private final String name;

	private final Scheduler scheduler;

	private final LongSupplier clock;

	private final Machine<E, A> machine;

	private final LongUnaryOperator nextWake;

	private final E tick;

	private final Consumer<A> interpreter;

	private @Nullable Disposable timer;

	private long timerAt = Long.MAX_VALUE;

	/**
	 * Creates a loop.
	 * @param name the name, for the log
	 * @param scheduler a scheduler of one thread, disposed with the loop
	 * @param clock gives the present time in milliseconds
	 * @param machine takes the events
	 * @param nextWake tells when a tick is due
	 * @param tick the event that stands for a tick
	 * @param interpreter carries out the actions, on the thread of the loop
	 */
	CellLoop(String name, Scheduler scheduler, LongSupplier clock, Machine<E, A> machine, LongUnaryOperator nextWake,
			E tick, Consumer<A> interpreter) {
		this.name = name;
		this.scheduler = scheduler;
		this.clock = clock;
		this.machine = machine;
		this.nextWake = nextWake;
		this.tick = tick;
		this.interpreter = interpreter;
	}

	/**
	 * Delivers an event soon.
	 * @param event the event
	 */
	void submit(E event) {
		run(() -> deliver(event));
	}

	/**
	 * Delivers an event after a while.
	 * @param event the event
	 * @param delayMs how long to wait, in milliseconds
	 */
	void submitLater(E event, long delayMs) {
		runLater(() -> deliver(event), delayMs);
	}

	/**
	 * Runs a task on the thread of the loop.
	 * @param task the task
	 */
	void run(Runnable task) {
		runLater(task, 0);
	}

	/**
	 * Runs a task on the thread of the loop after a while.
	 * @param task the task
	 * @param delayMs how long to wait, in milliseconds
	 */
	void runLater(Runnable task, long delayMs) {
		try {
			if (delayMs <= 0) {
				this.scheduler.schedule(task);
			}
			else {
				this.scheduler.schedule(task, delayMs, TimeUnit.MILLISECONDS);
			}
		}
		catch (RejectedExecutionException ex) {
			Logger.debug("[node] {} is closed, an event is dropped.", this.name);
		}
	}

	/**
	 * Delivers an event at once; called on the thread of the loop.
	 * @param event the event
	 */
	void deliver(E event) {
		// A fault in one decision must not end the loop: every later request of the cell
		// would hang. It shows as this line in the log.
		try {
			this.machine.handle(event, this.clock.getAsLong(), this.interpreter);
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "[node] {} failed on an event.", this.name);
		}
		arm();
	}

	@Override
	public void dispose() {
		this.scheduler.dispose();
	}

	@Override
	public boolean isDisposed() {
		return this.scheduler.isDisposed();
	}

	private void arm() {
		long now = this.clock.getAsLong();
		long at = this.nextWake.applyAsLong(now);
		if (at == this.timerAt) {
			return;
		}
		if (this.timer != null) {
			this.timer.dispose();
			this.timer = null;
		}
		this.timerAt = at;
		if (at != Long.MAX_VALUE && !this.scheduler.isDisposed()) {
			this.timer = this.scheduler.schedule(this::wake, Math.max(1, at - now), TimeUnit.MILLISECONDS);
		}
	}

	private void wake() {
		this.timerAt = Long.MAX_VALUE;
		this.timer = null;
		deliver(this.tick);
	}

	/**
	 * A state machine of events and actions.
	 *
	 * @param <E> the events
	 * @param <A> the actions
	 */
	@FunctionalInterface
	interface Machine<E, A> {

		/**
		 * Takes one event.
		 * @param event what happened
		 * @param now the present time in milliseconds
		 * @param out receives the actions
		 */
		void handle(E event, long now, Consumer<A> out);

	}

}
