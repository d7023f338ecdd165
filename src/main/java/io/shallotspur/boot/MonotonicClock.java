package io.shallotspur.boot;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * The system's clock in milliseconds since the epoch, made never to fall. Thread-safe.
 * <p>
 * A clock that is set back would let timeouts end late and would look like time that did
 * not pass; one that jumps ahead looks like a pause, which the membership survives. It
 * goes on while the process is stopped, so that a paused process can notice its pause.
 */
final class MonotonicClock implements LongSupplier {

	private final AtomicLong last = new AtomicLong();

	@Override
	public long getAsLong() {
		long t = System.currentTimeMillis();
		return this.last.updateAndGet((l) -> Math.max(l, t));
	}

}
