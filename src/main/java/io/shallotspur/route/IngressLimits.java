package io.shallotspur.route;

/**
 * Size limits and timeouts for requests of callers. Immutable.
 *
 * @param maxHeaderBytes maximum size of the request line and the headers, in bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headerTimeoutMs maximum time in which the headers must arrive, in milliseconds
 * @param idleTimeoutMs maximum idle time of a connection, in milliseconds
 */
public record IngressLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

	/**
	 * Limits that apply until a configuration is loaded, and for each limit that a
	 * configuration leaves out. They are of the order of the defaults of HTTP servers.
	 */
	public static final IngressLimits DEFAULT = new IngressLimits(16_384, 4 << 20, 3_000, 15_000);

}
