package io.shallotspur.boot;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

import io.shallotspur.node.NodePart;

/**
 * A part that does things again and again. A failure of one turn is logged and does not
 * end the others. Thread-safe after the start.
 */
final class Repeating implements NodePart {

	private final Scheduler scheduler;

	private final List<Task> tasks = new ArrayList<>();

	private final List<Disposable> running = new ArrayList<>();

	Repeating(Scheduler scheduler) {
		this.scheduler = scheduler;
	}

	Repeating with(Duration every, Runnable action) {
		this.tasks.add(new Task(every.toMillis(), action));
		return this;
	}

	@Override
	public Mono<Void> start() {
		return Mono.fromRunnable(() -> this.tasks.forEach((t) -> this.running
			.add(this.scheduler.schedulePeriodically(() -> turn(t), t.everyMs(), t.everyMs(), TimeUnit.MILLISECONDS))));
	}

	@Override
	public Mono<Void> close() {
		return Mono.fromRunnable(() -> this.running.forEach(Disposable::dispose));
	}

	private static void turn(Task t) {
		try {
			t.action().run();
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "[node] A repeated task failed.");
		}
	}

	private record Task(long everyMs, Runnable action) {

	}

}
