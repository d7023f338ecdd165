package io.shallotspur.platform;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaders;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import io.shallotspur.cfg.Endpoint;

/**
 * The store and the workers of a training run: one server that gives each call a
 * plausible response. Thread-safe.
 */
final class TrainingRunServer {

	private static final Duration WATCH_DELAY = Duration.ofMillis(200);

	private static final int SERVICE_UNAVAILABLE = 503;

	private final DisposableServer server;

	TrainingRunServer() {
		this.server = HttpServer.create().host("127.0.0.1").port(0).handle(this::handle).bindNow();
	}

	Endpoint address() {
		return new Endpoint("127.0.0.1", this.server.port());
	}

	void stop() {
		this.server.disposeNow();
	}

	private Publisher<Void> handle(HttpServerRequest q, HttpServerResponse s) {
		return q.receive().aggregate().then(Mono.defer(() -> Mono.from(respond(q, s))));
	}

	private Publisher<Void> respond(HttpServerRequest q, HttpServerResponse s) {
		String path = q.uri();
		if (path.startsWith("/api/kv-watch")) {
			return Mono.delay(WATCH_DELAY).then(Mono.defer(() -> Mono.from(json(s, event()))));
		}
		if (path.startsWith("/api/kv-range")) {
			return json(s, listing());
		}
		if (path.startsWith("/api/")) {
			return json(s, "{\"lease\":1,\"ttl_ms\":3000,\"revision\":9,\"hold\":\"h\",\"stage\":\"decode\"}");
		}
		return worker(q.requestHeaders(), path, s);
	}

	private static Publisher<Void> worker(HttpHeaders h, String path, HttpServerResponse s) {
		s.header(PlatformNames.REQUEST_ID, h.get(PlatformNames.REQUEST_ID)).header(PlatformNames.LOAD, "1,0,6");
		if (h.contains(PlatformNames.STAGE)) {
			return json(s, "{\"kv_handle\":\"k\",\"tokens\":1,\"version\":1}");
		}
		if (path.endsWith("broken")) {
			return s.withConnection((c) -> c.channel().close()).neverComplete();
		}
		if (path.endsWith("full")) {
			return s.status(SERVICE_UNAVAILABLE).header(PlatformNames.NOT_EXECUTED, "1").send();
		}
		s.header(PlatformNames.SIGNATURE, "s");
		if (h.contains(PlatformNames.TOKEN_COUNTS)) {
			return s.header("Content-Type", "text/event-stream")
				.sendString(Flux.just("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"));
		}
		return s.sendString(Mono.just("answer"));
	}

	private static Publisher<Void> json(HttpServerResponse s, String body) {
		return s.sendString(Mono.just(body));
	}

	private String listing() {
		ObjectNode n = StoreEntryCodec.JSON.createObjectNode().put("store_revision", 2).put("truncated", false);
		ArrayNode items = n.putArray("items");
		item(items, PlatformNames.CONFIG_KEY, """
				{"version":1,"routes":[
				{"name":"p","host":"h","prefix":"/p/","kind":"safe","timeout_ms":900,"target_latency_ms":300,
				"priority":2,"service":"plain","max_attempts":2},
				{"name":"m","host":"h","prefix":"/m/","kind":"streaming","timeout_ms":900,"target_latency_ms":300,
				"priority":1,"service":"llm","max_attempts":2,"allow_resume":true,"target_gap_ms":300}],
				"services":[{"name":"plain","connection_limit":100},{"name":"llm","connection_limit":100,
				"engine":{"slots":8,"kv_cache_tokens":40000,"kv_token_bytes":10,"link_mbps":100,"kv_handle_s":0.5,
				"hold_ms":2000}}],"limits":{"max_header_bytes":16384,"max_body_bytes":100000}}""");
		worker(items, "plain", "a", "");
		worker(items, "plain", "b", "");
		worker(items, "llm", "c", "prefill");
		worker(items, "llm", "d", "decode");
		return n.toString();
	}

	private void worker(ArrayNode items, String upstream, String id, String stage) {
		String stageField = stage.isEmpty() ? "" : ",\"stage\":\"" + stage + "\"";
		item(items, PlatformNames.WORKER_PREFIX + id, """
				{"service":"%s","address":"%s","zone":"here","version":"v1","slots":6,"state":"ready",
				"cold_remaining_ms":0,"sequence_number":1%s}""".formatted(upstream, address(), stageField));
	}

	private String event() {
		ObjectNode n = StoreEntryCodec.JSON.createObjectNode().put("store_revision", 3);
		item(n.putArray("events"), PlatformNames.STAGE_LEADER_KEY, "{\"vm\":\"vms/other\"}");
		return n.toString();
	}

	private static void item(ArrayNode items, String key, String value) {
		items.addObject()
			.put("key", key)
			.put("revision", 2)
			.put("value", Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
	}

}
