package io.shallotspur.boot;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Milliseconds since the epoch as they were at the start of the process, carried on by
 * the machine's monotonic clock. Immutable and thread-safe.
 * <p>
 * A clock that operators or a time service set back would let timeouts end late; one that
 * jumps ahead would look like a pause of the process. This one does neither, and goes on
 * while the process is stopped, so that a paused process can notice its pause.
 */
final class MonotonicClock implements LongSupplier {

	private final long epoch = System.currentTimeMillis();

	private final long start = System.nanoTime();

	@Override
	public long getAsLong() {
		return this.epoch + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.start);
	}

}
