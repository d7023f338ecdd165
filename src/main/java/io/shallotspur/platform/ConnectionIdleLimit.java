package io.shallotspur.platform;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AttributeKey;

/**
 * How long a connection to a worker may be idle before it is closed here. Stateless; the
 * limit is stored with its connection, as the worker states it for that connection and
 * another worker may get the address.
 * <p>
 * Idle connections are closed some time before the worker would close them. Otherwise a
 * request could cross with the worker's close, and it would be unknown whether the
 * request ran.
 */
final class ConnectionIdleLimit {

	/** The limit without a statement of the worker, ms. */
	static final long MAX_MS = 10_000;

	static final long MIN_MS = 300;

	// In ms. How long before the worker a connection is closed.
	private static final long MARGIN_MS = 1_500;

	private static final AttributeKey<Long> LIMIT_MS = AttributeKey.valueOf("shallotspur-idle-limit-ms");

	private ConnectionIdleLimit() {
	}

	/**
	 * Records the idle timeout that a response states.
	 * @param connection the connection that the response came on
	 * @param h the response headers
	 */
	static void record(Channel connection, HttpHeaders h) {
		KeepAliveHeader.idleTimeoutMs(h)
			.ifPresent((ms) -> connection.attr(LIMIT_MS).set(Math.max(MIN_MS, ms - MARGIN_MS)));
	}

	/**
	 * Returns the limit of a connection.
	 * @param connection the connection
	 * @return milliseconds
	 */
	static long ms(Channel connection) {
		Long limit = connection.attr(LIMIT_MS).get();
		return (limit != null) ? Math.min(MAX_MS, limit) : MAX_MS;
	}

}
