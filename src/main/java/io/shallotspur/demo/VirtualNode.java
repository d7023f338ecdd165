package io.shallotspur.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/**
 * The scheduler of one process in virtual time. A paused process runs what came due
 * meanwhile when it is resumed, as one that was stopped by a signal does; a killed one
 * runs nothing any more. Not thread-safe.
 */
public final class VirtualNode implements Scheduler {

	private final VirtualTime time;

	private final List<Runnable> held = new ArrayList<>();

	private boolean paused;

	private boolean killed;

	/**
	 * Creates a running process.
	 * @param time the clock
	 */
	public VirtualNode(VirtualTime time) {
		this.time = time;
	}

	/**
	 * Stops the process for a while.
	 */
	public void pause() {
		this.paused = true;
	}

	/**
	 * Lets a paused process go on.
	 */
	public void resume() {
		this.paused = false;
		List<Runnable> due = List.copyOf(this.held);
		this.held.clear();
		due.forEach((r) -> this.time.after(0, () -> run(r)));
	}

	/**
	 * Ends the process without a word.
	 */
	public void kill() {
		this.killed = true;
		this.held.clear();
	}

	/**
	 * Tells whether the process was killed.
	 * @return {@code true} if so
	 */
	public boolean isKilled() {
		return this.killed;
	}

	/**
	 * Runs a task in this process after some time.
	 * @param delayMs the time in milliseconds
	 * @param task the task
	 */
	public void after(long delayMs, Runnable task) {
		this.time.after(delayMs, () -> run(task));
	}

	@Override
	public long now(TimeUnit unit) {
		return unit.convert(this.time.now(), TimeUnit.MILLISECONDS);
	}

	@Override
	public Disposable schedule(Runnable task) {
		return schedule(task, 0, TimeUnit.MILLISECONDS);
	}

	@Override
	public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
		Cancellable c = new Cancellable();
		after(unit.toMillis(delay), () -> c.runUnlessDisposed(task));
		return c;
	}

	@Override
	public Disposable schedulePeriodically(Runnable task, long initialDelay, long period, TimeUnit unit) {
		Cancellable c = new Cancellable();
		after(unit.toMillis(initialDelay), () -> repeat(c, task, unit.toMillis(period)));
		return c;
	}

	@Override
	public Worker createWorker() {
		return new NodeWorker();
	}

	private void repeat(Cancellable c, Runnable task, long periodMs) {
		if (!c.isDisposed()) {
			task.run();
			after(periodMs, () -> repeat(c, task, periodMs));
		}
	}

	private void run(Runnable task) {
		if (this.killed) {
			return;
		}
		if (this.paused) {
			this.held.add(task);
			return;
		}
		task.run();
	}

	/**
	 * A task that may be given up.
	 */
	private static final class Cancellable implements Disposable {

		private final AtomicBoolean disposed = new AtomicBoolean();

		@Override
		public void dispose() {
			this.disposed.set(true);
		}

		@Override
		public boolean isDisposed() {
			return this.disposed.get();
		}

		private void runUnlessDisposed(Runnable task) {
			if (!isDisposed()) {
				task.run();
			}
		}

	}

	/**
	 * A worker is the scheduler itself: there is one thread anyway.
	 */
	private final class NodeWorker implements Worker {

		private final Cancellable gate = new Cancellable();

		@Override
		public Disposable schedule(Runnable task) {
			return VirtualNode.this.schedule(() -> this.gate.runUnlessDisposed(task));
		}

		@Override
		public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
			return VirtualNode.this.schedule(() -> this.gate.runUnlessDisposed(task), delay, unit);
		}

		@Override
		public Disposable schedulePeriodically(Runnable task, long initialDelay, long period, TimeUnit unit) {
			return VirtualNode.this.schedulePeriodically(() -> this.gate.runUnlessDisposed(task), initialDelay, period,
					unit);
		}

		@Override
		public void dispose() {
			this.gate.dispose();
		}

		@Override
		public boolean isDisposed() {
			return this.gate.isDisposed();
		}

	}

}
