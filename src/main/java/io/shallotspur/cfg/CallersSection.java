package io.shallotspur.cfg;

/**
 * The callers' HTTP. Immutable.
 *
 * @param listen where callers connect
 * @param advertise what locate tells callers; the same as {@code listen} by default
 * @param maxHeaderBytes request line and headers together
 * @param maxBodyBytes one request body
 * @param maxConnections connections at a time; more are closed at once
 * @param idleTimeoutMs a connection without a request is closed after this, in
 * milliseconds
 * @param readTimeoutMs a request must have arrived whole after this, in milliseconds
 */
public record CallersSection(Endpoint listen, Endpoint advertise, int maxHeaderBytes, int maxBodyBytes,
		int maxConnections, long idleTimeoutMs, long readTimeoutMs) {

}
