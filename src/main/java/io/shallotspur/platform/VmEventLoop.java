package io.shallotspur.platform;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.FutureMono;
import reactor.netty.resources.LoopResources;

import io.shallotspur.gateway.GatewayTimer;
import io.shallotspur.transit.ArrivalClock;
import io.shallotspur.transit.DueTimers;

/**
 * The single event loop that runs an entry VM's sockets, timers and gateway. A VM has
 * less than one core, so more threads would only compete for it. Thread-safe, except that
 * a timer that was scheduled on the loop is also cancelled on it.
 */
final class VmEventLoop implements GatewayTimer {

	private static final Duration QUIET_PERIOD = Duration.ZERO;

	private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(500);

	private final ArrivalClock arrivals = new ArrivalClock();

	private final DueTimers timers = new DueTimers();

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("gateway", true),
			TimedIoHandler.factory(this.arrivals, this.timers, VmEventLoop::now));

	private final LoopResources resources = new SingleLoopResources(this.group);

	private final EventLoop loop = this.group.next();

	private final Scheduler scheduler = Schedulers.fromExecutorService(this.loop, "gateway");

	LoopResources resources() {
		return this.resources;
	}

	Scheduler scheduler() {
		return this.scheduler;
	}

	/**
	 * Returns when what the loop reads can have arrived.
	 * @return the arrival times, on the clock of {@link System#nanoTime}; confined to the
	 * loop
	 */
	ArrivalClock arrivals() {
		return this.arrivals;
	}

	void execute(Runnable task) {
		this.loop.execute(task);
	}

	/**
	 * Runs a task once the loop has read from its sockets again. Called on the loop.
	 * @param task the task
	 */
	void executeAfterNextRead(Runnable task) {
		// Tasks that are submitted while the loop reads run before it reads again; what
		// they schedule does not.
		this.loop.execute(() -> this.loop.schedule(() -> {
			this.timers.runDue(now());
			task.run();
		}, 0, TimeUnit.MILLISECONDS));
	}

	@Override
	public Runnable schedule(long delayMs, Runnable task) {
		if (!this.loop.inEventLoop()) {
			ScheduledFuture<?> f = this.loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
			return () -> f.cancel(false);
		}
		// Run by the loop at the end of a round or by TimedIoHandler between two sockets,
		// whichever comes first.
		DueTimers.Timer t = this.timers.add(now() + delayMs, task);
		ScheduledFuture<?> f = this.loop.schedule(t, delayMs, TimeUnit.MILLISECONDS);
		return () -> {
			t.cancel();
			f.cancel(false);
		};
	}

	private static long now() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	void close() {
		this.resources.disposeLater(QUIET_PERIOD, CLOSE_TIMEOUT)
			.timeout(CLOSE_TIMEOUT.multipliedBy(2))
			.onErrorResume(VmEventLoop::closedLate)
			.block();
	}

	// A busy loop does not hold up the process, as its thread is a daemon.
	private static Mono<Void> closedLate(Throwable ex) {
		Logger.warn("[run] event loop not closed in time seen=\"{}\"", ex.toString());
		return Mono.empty();
	}

	/**
	 * Gives all servers and clients the same event loop.
	 *
	 * @param group the group with the loop
	 */
	private record SingleLoopResources(EventLoopGroup group) implements LoopResources {

		@Override
		public EventLoopGroup onServer(boolean preferNative) {
			return this.group;
		}

		@Override
		public Mono<Void> disposeLater(Duration quietPeriod, Duration timeout) {
			return FutureMono.deferFuture(() -> shutDown(quietPeriod, timeout));
		}

		@SuppressWarnings("unchecked")
		private Future<Void> shutDown(Duration quietPeriod, Duration timeout) {
			return (Future<Void>) this.group.shutdownGracefully(quietPeriod.toMillis(), timeout.toMillis(),
					TimeUnit.MILLISECONDS);
		}

	}

}
