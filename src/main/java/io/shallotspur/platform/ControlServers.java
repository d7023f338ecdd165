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
 * Answers whether the VM is ready, which addresses callers may use, and what it counts.
 * Confined to the event loop.
 */
final class ControlServers {

	// The most addresses of which callers take notice.
	private static final int MOST_ADDRESSES = 64;

	private static final double MS_PER_S = 1_000;

	private final Loop loop;

	private final EntryVmDirectory vms;

	private final LongSupplier clock;

	private final long ttlMs;

	ControlServers(Loop loop, EntryVmDirectory vms, LongSupplier clock, long ttlMs) {
		this.loop = loop;
		this.vms = vms;
		this.clock = clock;
		this.ttlMs = ttlMs;
	}

	Mono<? extends DisposableServer> ready(Endpoint listen, BooleanSupplier ready) {
		return http(listen).route((r) -> r.get(Names.READY_PATH, (req, res) -> res.status(status(ready)).send()))
			.bind();
	}

	Mono<? extends DisposableServer> locate(Endpoint listen, BooleanSupplier known) {
		return http(listen).route((r) -> r.get(Names.LOCATE_PATH, (req, res) -> addresses(req, res, known))).bind();
	}

	Mono<? extends DisposableServer> metrics(Endpoint listen, Supplier<String> text) {
		return http(listen).route((r) -> r.get("/metrics", (req,
				res) -> res.header(HttpHeaderNames.CONTENT_TYPE, "text/plain").sendString(Mono.fromSupplier(text))))
			.bind();
	}

	private HttpServer http(Endpoint listen) {
		return HttpServer.create().host(listen.host()).port(listen.port()).runOn(this.loop.resources(), false);
	}

	private static HttpResponseStatus status(BooleanSupplier ok) {
		return ok.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
	}

	private Publisher<Void> addresses(HttpServerRequest req, HttpServerResponse res, BooleanSupplier known) {
		List<String> regions = new QueryStringDecoder(req.uri()).parameters().getOrDefault("region", List.of(""));
		List<String> l = this.vms.addressesFor(regions.get(0), MOST_ADDRESSES, this.clock.getAsLong());
		if (!known.getAsBoolean() || l.isEmpty()) {
			return res.status(HttpResponseStatus.SERVICE_UNAVAILABLE).send();
		}
		ObjectNode n = EntryDecoder.JSON.createObjectNode();
		l.forEach(n.putArray("addresses")::add);
		n.put("ttl_s", this.ttlMs / MS_PER_S);
		byte[] body = n.toString().getBytes(StandardCharsets.UTF_8);
		return res.header(HttpHeaderNames.CONTENT_TYPE, "application/json")
			.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length))
			.sendByteArray(Mono.just(body));
	}

}
