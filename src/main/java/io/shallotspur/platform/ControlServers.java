package io.shallotspur.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import io.shallotspur.cfg.Endpoint;
import io.shallotspur.gateway.EntryVmDirectory;

/**
 * HTTP servers for the readiness check, the entry VM addresses that callers may use, and
 * the metrics. Confined to the event loop.
 */
final class ControlServers {

	// Callers ignore further addresses.
	private static final int MAX_ADDRESSES = 64;

	private static final double MS_PER_S = 1_000;

	private final VmEventLoop loop;

	private final EntryVmDirectory vms;

	private final LongSupplier clock;

	private final long ttlMs;

	ControlServers(VmEventLoop loop, EntryVmDirectory vms, LongSupplier clock, long ttlMs) {
		this.loop = loop;
		this.vms = vms;
		this.clock = clock;
		this.ttlMs = ttlMs;
	}

	Mono<? extends DisposableServer> readiness(Endpoint listen, BooleanSupplier ready) {
		return httpServer(listen)
			.route((r) -> r.get(PlatformNames.READINESS_PATH, (req, res) -> res.status(status(ready)).send()))
			.bind();
	}

	Mono<? extends DisposableServer> locate(Endpoint listen, BooleanSupplier synced) {
		return httpServer(listen)
			.route((r) -> r.get(PlatformNames.LOCATE_PATH, (req, res) -> sendAddresses(req, res, synced)))
			.bind();
	}

	Mono<? extends DisposableServer> metrics(Endpoint listen, Supplier<String> text) {
		return httpServer(listen).route((r) -> r.get("/metrics", (req,
				res) -> res.header(HttpHeaderNames.CONTENT_TYPE, "text/plain").sendString(Mono.fromSupplier(text))))
			.bind();
	}

	private HttpServer httpServer(Endpoint listen) {
		return HttpServer.create().host(listen.host()).port(listen.port()).runOn(this.loop.resources(), false);
	}

	private static HttpResponseStatus status(BooleanSupplier ok) {
		return ok.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
	}

	private Publisher<Void> sendAddresses(HttpServerRequest req, HttpServerResponse res, BooleanSupplier synced) {
		List<String> regions = new QueryStringDecoder(req.uri()).parameters().getOrDefault("region", List.of(""));
		List<String> addresses = this.vms.addressesFor(regions.get(0), MAX_ADDRESSES, this.clock.getAsLong());
		if (!synced.getAsBoolean() || addresses.isEmpty()) {
			return res.status(HttpResponseStatus.SERVICE_UNAVAILABLE).send();
		}
		ObjectNode n = StoreEntryCodec.JSON.createObjectNode();
		addresses.forEach(n.putArray("addresses")::add);
		n.put("ttl_s", this.ttlMs / MS_PER_S);
		byte[] body = n.toString().getBytes(StandardCharsets.UTF_8);
		return res.header(HttpHeaderNames.CONTENT_TYPE, "application/json")
			.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length))
			.sendByteArray(Mono.just(body));
	}

}
