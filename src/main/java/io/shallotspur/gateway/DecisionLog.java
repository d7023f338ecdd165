package io.shallotspur.gateway;

import java.util.function.Supplier;

import org.tinylog.Logger;

/**
 * Logs one line per decision about a request, up to a rate limit. Not thread-safe.
 * <p>
 * Under overload, every request is refused or retried, and logging each of them would
 * slow down a VM that is already overloaded. Lines over the limit are counted, and the
 * count is logged with the first line of a later second.
 */
public final class DecisionLog {

	private static final long SECOND_MS = 1_000;

	private final int linesPerSecond;

	private long second;

	private int written;

	private long dropped;

	/**
	 * Creates a log.
	 * @param linesPerSecond the maximum number of lines per second
	 */
	public DecisionLog(int linesPerSecond) {
		this.linesPerSecond = linesPerSecond;
	}

	/**
	 * Logs a line unless the limit of the current second is reached.
	 * @param now the current time in milliseconds
	 * @param line builds the line; not called if the line is dropped
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
			Logger.info("[relay] log lines dropped={}", this.dropped);
			this.dropped = 0;
		}
	}

}
