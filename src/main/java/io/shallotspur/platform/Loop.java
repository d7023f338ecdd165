package io.shallotspur.platform;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

import io.shallotspur.gateway.GatewayTimer;

/**
 * The one event loop on which all of an entry VM runs: sockets, timers and the gateway.
 * Thread-safe. A VM has less than one core; more threads would only take turns.
 */
final class Loop implements GatewayTimer {

	private static final Duration QUIET = Duration.ZERO;

	private static final Duration CLOSE = Duration.ofMillis(500);

	private final LoopResources resources = LoopResources.create("gateway", 1, true);

	private final EventLoop loop = this.resources.onServer(false).next();

	private final Scheduler scheduler = Schedulers.fromExecutorService(this.loop, "gateway");

	LoopResources resources() {
		return this.resources;
	}

	Scheduler scheduler() {
		return this.scheduler;
	}

	void execute(Runnable task) {
		this.loop.execute(task);
	}

	@Override
	public Runnable schedule(long delayMs, Runnable task) {
		ScheduledFuture<?> f = this.loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
		return () -> f.cancel(false);
	}

	void close() {
		this.resources.disposeLater(QUIET, CLOSE).block(CLOSE.multipliedBy(2));
	}

}
