package io.shallotspur.standin.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import io.shallotspur.port.VmEntry;

/**
 * Stands in for the platform's VM list over HTTP/JSON. The list is set by {@link #set} or
 * by a {@code PUT} to {@code /v1/vms}; it lags as much as whoever sets it does.
 * Thread-safe.
 */
public final class VmListStandin {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final TypeReference<List<VmEntry>> ENTRIES = new TypeReference<>() {
	};

	private static final int OK = 200;

	private static final int BAD_REQUEST = 400;

	private static final int UNAVAILABLE = 503;

	private volatile List<VmEntry> entries = List.of();

	private volatile boolean down;

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
			.route((r) -> r.get("/v1/vms", this::get).put("/v1/vms", this::put))
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
	 * Sets the list.
	 * @param entries the entries
	 */
	public void set(List<VmEntry> entries) {
		this.entries = List.copyOf(entries);
	}

	/**
	 * Starts or ends an outage.
	 * @param down whether calls are refused
	 */
	public void setDown(boolean down) {
		this.down = down;
	}

	private Publisher<Void> get(HttpServerRequest q, HttpServerResponse s) {
		if (this.down) {
			return s.status(UNAVAILABLE).send();
		}
		return s.header("Content-Type", "application/json")
			.sendByteArray(Mono.fromCallable(() -> JSON.writeValueAsBytes(this.entries)));
	}

	private Publisher<Void> put(HttpServerRequest q, HttpServerResponse s) {
		return q.receive().aggregate().asByteArray().flatMap((b) -> {
			try {
				set(JSON.readValue(b, ENTRIES));
				return s.status(OK).send();
			}
			catch (IOException ex) {
				return s.status(BAD_REQUEST).send();
			}
		});
	}

}
