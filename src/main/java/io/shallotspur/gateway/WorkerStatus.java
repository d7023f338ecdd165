package io.shallotspur.gateway;

import org.jspecify.annotations.Nullable;

/**
 * What a worker reports about itself along with a response. Immutable.
 *
 * @param load its load, or {@code null} if it does not report it
 * @param limit its rate limit, or {@code null} if the response does not show whether the
 * limit still applies
 */
public record WorkerStatus(@Nullable LoadReport load, @Nullable WorkerRateLimit limit) {

	/** The status of a response that reports nothing. */
	public static final WorkerStatus NONE = new WorkerStatus(null, null);

}
