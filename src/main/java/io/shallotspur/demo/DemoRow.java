package io.shallotspur.demo;

/**
 * A line of the demonstration's table. Immutable; the arrays are not copied.
 *
 * @param customer the customer
 * @param className the class
 * @param sent requests that were sent, resends not counted
 * @param met whole answers within all targets
 * @param left callers who left before the end
 * @param refused requests that were refused and not run
 * @param unknown requests whose outcome is unknown
 * @param lost callers who stayed and got neither an answer nor a typed error
 * @param wrong whole answers that were not those to the caller's own request
 * @param duplicated requests that were run more often than allowed
 * @param ttftMs the time to the first token, p50, p95, p99, in milliseconds
 * @param tbtMs the time between tokens, p50, p95, p99, in milliseconds
 */
record DemoRow(String customer, String className, int sent, int met, int left, int refused, int unknown, int lost,
		int wrong, int duplicated, long[] ttftMs, long[] tbtMs) {

	boolean broken() {
		return this.lost > 0 || this.wrong > 0 || this.duplicated > 0;
	}

}
