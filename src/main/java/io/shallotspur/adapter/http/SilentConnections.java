package io.shallotspur.adapter.http;

import java.util.Map;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;
import reactor.netty.transport.Transport;

/**
 * Detects connections that have fallen silent without a reset: behind a cut link, or
 * because the other machine has lost power. Without it, a call waits there for its own
 * timeout. Stateless.
 * <p>
 * It uses the TCP keepalive probes of NIO sockets. The probes are sent only while a
 * connection is idle.
 */
public final class SilentConnections {

	// In s. A silent connection is closed after three seconds, longer than a worker
	// pauses.
	private static final int IDLE_S = 1;

	private static final int INTERVAL_S = 1;

	private static final int MAX_PROBES = 2;

	private static final Map<ChannelOption<?>, Object> OPTIONS = Map.of(ChannelOption.SO_KEEPALIVE, true,
			NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_S,
			NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_S,
			NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), MAX_PROBES);

	private SilentConnections() {
	}

	/**
	 * Enables the detection for the connections of a client.
	 * @param <T> the type of client
	 * @param client the client
	 * @return the client with the detection
	 */
	public static <T extends Transport<T, ?>> T detect(T client) {
		T result = client;
		for (Map.Entry<ChannelOption<?>, Object> e : OPTIONS.entrySet()) {
			result = result.option(untyped(e.getKey()), e.getValue());
		}
		return result;
	}

	/**
	 * Enables the detection for the connections of a client.
	 * @param client the client; changed
	 * @return the client
	 */
	public static Bootstrap detect(Bootstrap client) {
		OPTIONS.forEach((option, value) -> client.option(untyped(option), value));
		return client;
	}

	/**
	 * Enables the detection for the connections that a server accepts.
	 * @param server the server; changed
	 * @return the server
	 */
	public static ServerBootstrap detect(ServerBootstrap server) {
		OPTIONS.forEach((option, value) -> server.childOption(untyped(option), value));
		return server;
	}

	@SuppressWarnings("unchecked")
	private static ChannelOption<Object> untyped(ChannelOption<?> option) {
		return (ChannelOption<Object>) option;
	}

}
