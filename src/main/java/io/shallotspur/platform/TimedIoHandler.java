package io.shallotspur.platform;

import java.nio.channels.SelectableChannel;
import java.nio.channels.spi.SelectorProvider;
import java.util.function.LongSupplier;

import io.netty.channel.IoEvent;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandle;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.IntSupplier;

import io.shallotspur.transit.ArrivalClock;
import io.shallotspur.transit.DueTimers;

/**
 * An I/O handler that records when an event loop polls its sockets, and runs timers that
 * are due before it handles what one of them has received. Confined to the event loop,
 * except for {@link #wakeup}.
 */
final class TimedIoHandler implements IoHandler {

	private final IoHandler handler;

	private final ArrivalClock arrivals;

	private final DueTimers timers;

	private final LongSupplier clock;

	private TimedIoHandler(IoHandler handler, ArrivalClock arrivals, DueTimers timers, LongSupplier clock) {
		this.handler = handler;
		this.arrivals = arrivals;
		this.timers = timers;
		this.clock = clock;
	}

	/**
	 * Returns a factory for a group with a single loop.
	 * @param arrivals is told of the polls
	 * @param timers run between two sockets
	 * @param clock the time in milliseconds
	 * @return the factory
	 */
	static IoHandlerFactory factory(ArrivalClock arrivals, DueTimers timers, LongSupplier clock) {
		IoHandlerFactory nio = NioIoHandler.newFactory(SelectorProvider.provider(),
				() -> (ready, hasTasks) -> strategy(arrivals, ready, hasTasks));
		return (executor) -> new TimedIoHandler(nio.newHandler(executor), arrivals, timers, clock);
	}

	// If a check finds something ready before the loop waits, it came while the loop was
	// busy.
	private static int strategy(ArrivalClock arrivals, IntSupplier ready, boolean hasTasks) throws Exception {
		if (hasTasks) {
			return ready.get();
		}
		int n = arrivals.shouldCheckReady() ? ready.get() : 0;
		if (n > 0) {
			return n;
		}
		arrivals.pollWaits();
		return SelectStrategy.SELECT;
	}

	@Override
	public void initialize() {
		this.handler.initialize();
	}

	@Override
	public int run(IoHandlerContext context) {
		this.arrivals.pollEntered(this.clock.getAsLong());
		return this.handler.run(new PollContext(context));
	}

	@Override
	public void prepareToDestroy() {
		this.handler.prepareToDestroy();
	}

	@Override
	public void destroy() {
		this.handler.destroy();
	}

	@Override
	public IoRegistration register(IoHandle handle) throws Exception {
		return this.handler.register((handle instanceof NioIoHandle nio) ? new TimedHandle(nio) : handle);
	}

	@Override
	public void wakeup() {
		this.handler.wakeup();
	}

	@Override
	public boolean isCompatible(Class<? extends IoHandle> handleType) {
		return this.handler.isCompatible(handleType);
	}

	/**
	 * Delegates to the context of the loop. The handler calls
	 * {@link #shouldReportActiveIoTime} as soon as a poll has returned, which is how the
	 * return is recorded.
	 */
	private final class PollContext implements IoHandlerContext {

		private final IoHandlerContext context;

		private PollContext(IoHandlerContext context) {
			this.context = context;
		}

		@Override
		public boolean canBlock() {
			return this.context.canBlock();
		}

		@Override
		public long delayNanos(long currentTimeNanos) {
			return this.context.delayNanos(currentTimeNanos);
		}

		@Override
		public long deadlineNanos() {
			return this.context.deadlineNanos();
		}

		@Override
		public boolean shouldReportActiveIoTime() {
			TimedIoHandler.this.arrivals.pollReturned(TimedIoHandler.this.clock.getAsLong());
			return this.context.shouldReportActiveIoTime();
		}

		@Override
		public void reportActiveIoTime(long activeNanos) {
			this.context.reportActiveIoTime(activeNanos);
		}

	}

	/**
	 * Runs due timers, then handles what a socket has received.
	 */
	@SuppressWarnings("try")
	private final class TimedHandle implements NioIoHandle {

		private final NioIoHandle handle;

		private TimedHandle(NioIoHandle handle) {
			this.handle = handle;
		}

		@Override
		public SelectableChannel selectableChannel() {
			return this.handle.selectableChannel();
		}

		@Override
		public void handle(IoRegistration registration, IoEvent event) {
			TimedIoHandler.this.timers.runDue(TimedIoHandler.this.clock.getAsLong());
			this.handle.handle(registration, event);
		}

		@Override
		public void registered() {
			this.handle.registered();
		}

		@Override
		public void unregistered() {
			this.handle.unregistered();
		}

		@Override
		public void close() throws Exception {
			this.handle.close();
		}

	}

}
