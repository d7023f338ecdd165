package io.shallotspur.route;

/**
 * What a caller may send and how long it may take. Immutable.
 *
 * @param maxHeaderBytes most bytes of a request line and its headers
 * @param maxBodyBytes most bytes of a body
 * @param headerTimeoutMs longest time for sending the headers, in milliseconds
 * @param idleTimeoutMs longest time a connection may be idle, in milliseconds
 */
public record IngressLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

	/**
	 * Limits until a configuration is known: the bounds of common HTTP servers.
	 */
	public static final IngressLimits DEFAULT = new IngressLimits(16_384, 4 << 20, 3_000, 15_000);

}
