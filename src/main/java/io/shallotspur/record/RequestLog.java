package io.shallotspur.record;

/**
 * Takes the end of each request. Implementations are thread-safe and return soon.
 */
@FunctionalInterface
public interface RequestLog {

	/**
	 * Takes the end of a request.
	 * @param end how it ended
	 * @param now the present time in milliseconds since the epoch
	 */
	void finished(RequestEnd end, long now);

	/**
	 * Hands each end to another log as well.
	 * @param other the other log
	 * @return a log that tells both
	 */
	default RequestLog and(RequestLog other) {
		return (end, now) -> {
			finished(end, now);
			other.finished(end, now);
		};
	}

}
