package io.shallotspur.node.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/**
 * The scheduler of one node in a test: while the node is paused its tasks wait.
 */
final class NodeScheduler implements Scheduler {

	private final Scheduler time;

	private final List<Runnable> waiting = new ArrayList<>();

	private boolean paused;

	NodeScheduler(Scheduler time) {
		this.time = time;
	}

	void pause() {
		this.paused = true;
	}

	void resume() {
		this.paused = false;
		List<Runnable> l = List.copyOf(this.waiting);
		this.waiting.clear();
		l.forEach((r) -> this.time.schedule(() -> run(r)));
	}

	boolean isPaused() {
		return this.paused;
	}

	@Override
	public long now(TimeUnit unit) {
		return this.time.now(unit);
	}

	@Override
	public Disposable schedule(Runnable task) {
		return this.time.schedule(() -> run(task));
	}

	@Override
	public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
		return this.time.schedule(() -> run(task), delay, unit);
	}

	@Override
	public Worker createWorker() {
		Worker w = this.time.createWorker();
		return new Worker() {

			@Override
			public Disposable schedule(Runnable task) {
				return w.schedule(() -> NodeScheduler.this.run(task));
			}

			@Override
			public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
				return w.schedule(() -> NodeScheduler.this.run(task), delay, unit);
			}

			@Override
			public void dispose() {
				w.dispose();
			}

		};
	}

	private void run(Runnable task) {
		if (this.paused) {
			this.waiting.add(task);
		}
		else {
			task.run();
		}
	}

}
