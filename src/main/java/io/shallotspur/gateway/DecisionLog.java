package io.shallotspur.gateway;

import java.util.function.Supplier;

import org.tinylog.Logger;

/**
 * Writes one line for each decision about a request, at most so many a second. Not
 * thread-safe.
 * <p>
 * Under overload each request is refused or retried, and a line for each would slow down
 * the very VM that has too much to do. Lines over the limit are counted, and the count is
 * written with the first line of the next second.
 */
public final class DecisionLog {

	private static final long SECOND_MS = 1_000;

	private final int linesPerSecond;

	private long second;

	private int written;

	private long dropped;

	/**
	 * Creates a log.
	 * @param linesPerSecond the most lines in a second
	 */
	public DecisionLog(int linesPerSecond) {
		this.linesPerSecond = linesPerSecond;
	}

	/**
	 * Writes a line unless this second's lines are used up.
	 * @param now the present time in milliseconds
	 * @param line makes the line; not called if it is dropped
	 */
	public void write(long now, Supplier<String> line) {
		if (now / SECOND_MS != this.second) {
			startSecond(now);
		}
		if (this.written >= this.linesPerSecond) {
			this.dropped++;
			return;
		}
		this.written++;
		Logger.info("[relay] {}", line.get());
	}

	private void startSecond(long now) {
		this.second = now / SECOND_MS;
		this.written = 0;
		if (this.dropped > 0) {
			Logger.info("[relay] lines dropped={}", this.dropped);
			this.dropped = 0;
		}
	}

}
