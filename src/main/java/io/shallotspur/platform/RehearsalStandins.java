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
 * The store and the workers of a rehearsal: one server that gives each call a plausible
 * answer. Thread-safe.
 */
final class RehearsalStandins {

	private static final Duration WATCH = Duration.ofMillis(200);

	private static final int REFUSAL = 503;

	private final DisposableServer server;

	RehearsalStandins() {
		this.server = HttpServer.create().host("127.0.0.1").port(0).handle(this::answer).bindNow();
	}

	Endpoint address() {
		return new Endpoint("127.0.0.1", this.server.port());
	}

	void stop() {
		this.server.disposeNow();
	}

	private Publisher<Void> answer(HttpServerRequest q, HttpServerResponse s) {
		return q.receive().aggregate().then(Mono.defer(() -> Mono.from(answered(q, s))));
	}

	private Publisher<Void> answered(HttpServerRequest q, HttpServerResponse s) {
		String path = q.uri();
		if (path.startsWith("/api/kv-watch")) {
			return Mono.delay(WATCH).then(Mono.defer(() -> Mono.from(json(s, event()))));
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
		s.header(Names.REQUEST_ID, h.get(Names.REQUEST_ID)).header(Names.LOAD, "1,0,6");
		if (h.contains(Names.STAGE)) {
			return json(s, "{\"kv_handle\":\"k\",\"tokens\":1,\"version\":1}");
		}
		if (path.endsWith("full")) {
			return s.status(REFUSAL).header(Names.NOT_RUN, "1").send();
		}
		s.header(Names.SIGNATURE, "s");
		if (h.contains(Names.TOKEN_COUNTS)) {
			return s.header("Content-Type", "text/event-stream")
				.sendString(Flux.just("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"));
		}
		return s.sendString(Mono.just("answer"));
	}

	private static Publisher<Void> json(HttpServerResponse s, String body) {
		return s.sendString(Mono.just(body));
	}

	private String listing() {
		ObjectNode n = EntryDecoder.JSON.createObjectNode().put("store_revision", 2).put("truncated", false);
		ArrayNode items = n.putArray("items");
		item(items, Names.CONFIG_KEY, """
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
		String does = stage.isEmpty() ? "" : ",\"stage\":\"" + stage + "\"";
		item(items, Names.WORKER_PREFIX + id, """
				{"service":"%s","address":"%s","zone":"here","version":"v1","slots":6,"state":"ready",
				"cold_remaining_ms":0,"sequence_number":1%s}""".formatted(upstream, address(), does));
	}

	private String event() {
		ObjectNode n = EntryDecoder.JSON.createObjectNode().put("store_revision", 3);
		item(n.putArray("events"), Names.DUTY_KEY, "{\"vm\":\"vms/other\"}");
		return n.toString();
	}

	private static void item(ArrayNode items, String key, String value) {
		items.addObject()
			.put("key", key)
			.put("revision", 2)
			.put("value", Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
	}

}
