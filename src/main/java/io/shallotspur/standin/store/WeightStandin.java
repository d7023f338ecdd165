package io.shallotspur.standin.store;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Stands in for the weight store over HTTP. It grants as many loads as it was told to and
 * answers 429 after that. Thread-safe.
 */
public final class WeightStandin {

	private static final int TOO_MANY = 429;

	private final AtomicInteger grants = new AtomicInteger(Integer.MAX_VALUE);

	private @Nullable DisposableServer server;

	/**
	 * Starts to listen.
	 * @param host the address
	 * @param port the port, 0 for any free one
	 * @return the bound address
	 */
	public InetSocketAddress start(String host, int port) {
		DisposableServer s = HttpServer.create()
			.host(host)
			.port(port)
			.route((r) -> r.get("/v1/weights", this::get))
			.bindNow();
		this.server = s;
		return (InetSocketAddress) s.address();
	}

	/**
	 * Stops listening.
	 */
	public void stop() {
		DisposableServer s = this.server;
		if (s != null) {
			s.disposeNow();
		}
	}

	/**
	 * Sets how many loads are granted from now on.
	 * @param grants the number
	 */
	public void setGrants(int grants) {
		this.grants.set(grants);
	}

	private Publisher<Void> get(HttpServerRequest q, HttpServerResponse s) {
		if (this.grants.getAndUpdate((n) -> Math.max(0, n - 1)) <= 0) {
			return s.status(TOO_MANY).send();
		}
		return s.sendString(Mono.just("weights://" + q.uri()));
	}

}
