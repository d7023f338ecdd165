package io.shallotspur.gateway;

import org.jspecify.annotations.Nullable;

/**
 * What a worker says of itself beside an answer. Immutable.
 *
 * @param load its load, or {@code null} if it does not tell
 * @param limit how many requests it takes, or {@code null} if the answer does not show
 * whether it still names a limit
 */
public record WorkerStatus(@Nullable LoadReport load, @Nullable WorkerRateLimit limit) {

	/** An answer from which nothing is learned. */
	public static final WorkerStatus NONE = new WorkerStatus(null, null);

}
