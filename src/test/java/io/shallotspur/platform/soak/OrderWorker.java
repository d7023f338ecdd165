package io.shallotspur.platform.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import io.shallotspur.platform.FakeStore;

/**
 * A fake model worker that changes its stage when ordered. Leaves some orders unanswered
 * and carries them out late. Reports each order with the VM that it comes from.
 * Thread-safe.
 */
final class OrderWorker {

	static final int SLOTS = 8;

	static final int TOKENS_PER_EVENT = 12;

	private static final int MIN_LATE_MS = 2_000;

	private static final int MAX_LATE_MS = 9_000;

	private static final Duration EVENT_INTERVAL = Duration.ofMillis(25);

	private static final Duration SWITCH_TIME = Duration.ofMillis(900);

	private static final Duration HOLD_TIME = Duration.ofSeconds(2);

	private static final int PROMPT_TOKENS_PER_MS = 10;

	private static final ObjectMapper JSON = new ObjectMapper();

	private final String id;

	private final FakeStore store;

	private final OrderChecker checker;

	private final DisposableServer server;

	private final WorkerProxies proxies;

	private final Set<String> holds = ConcurrentHashMap.newKeySet();

	private final AtomicInteger running = new AtomicInteger();

	private final AtomicLong sequence = new AtomicLong();

	// The share of the orders that are carried out late, in percent.
	private final int latePercent;

	private volatile String stage;

	private volatile boolean busy;

	private long acceptedOrders;

	private long highestToken;

	OrderWorker(String id, String stage, int vms, int latePercent, FakeStore store, OrderChecker checker)
			throws IOException {
		this.id = id;
		this.stage = stage;
		this.latePercent = latePercent;
		this.store = store;
		this.checker = checker;
		this.server = HttpServer.create().host("127.0.0.1").port(0).handle(this::handle).bindNow();
		this.proxies = new WorkerProxies(vms, this.server.port());
		register();
	}

	WorkerProxies proxies() {
		return this.proxies;
	}

	private void register() {
		this.store.put("servers/" + this.id, """
				{"service":"llm","address":"127.0.0.1:%d","zone":"hall-0","version":"v1","slots":%d,"state":"ready",
				"cold_remaining_ms":0,"stage":"%s","models":[],"sequence_number":1}""".formatted(this.proxies.port(0),
				SLOTS, this.stage));
	}

	void stop() {
		this.server.disposeNow();
		this.proxies.stop();
	}

	private Publisher<Void> handle(HttpServerRequest q, HttpServerResponse s) {
		return q.receive().aggregate().asString().defaultIfEmpty("").flatMap((body) -> Mono.from(respond(q, s, body)));
	}

	private Publisher<Void> respond(HttpServerRequest q, HttpServerResponse s, String body) {
		HttpHeaders h = q.requestHeaders();
		s.header("X-Request-Id", h.get("X-Request-Id", ""));
		if (q.uri().equals("/api/order")) {
			return order(this.proxies.vmOf(q.remoteAddress().getPort()), s, body);
		}
		if (q.uri().equals("/api/report")) {
			return s.sendString(Mono.just(report()));
		}
		if (q.uri().equals("/api/hold-take")) {
			return reserve(s);
		}
		if (q.uri().startsWith("/api/")) {
			this.holds.remove(q.uri().substring(q.uri().lastIndexOf('/') + 1));
			return s.send();
		}
		if (this.busy) {
			return s.status(503).header("X-Not-Executed", "1").send();
		}
		boolean prefill = "prefill".equals(h.get("X-Stage"));
		if (prefill != this.stage.equals("prefill")) {
			return s.status(421).send();
		}
		return run(prefill, h, s);
	}

	private synchronized String report() {
		return "{\"stage\":\"%s\",\"busy\":%s,\"sequence_number\":%d}".formatted(this.stage, this.busy,
				this.acceptedOrders);
	}

	private Publisher<Void> order(int vm, HttpServerResponse s, String body) {
		try {
			JsonNode n = JSON.readTree(body);
			if (vm >= 0) {
				this.checker.onOrder(this.id, vm, n.path("fencing_token").asLong(), InvariantChecker.nowMs());
			}
			if (ThreadLocalRandom.current().nextInt(100) < this.latePercent) {
				int ms = ThreadLocalRandom.current().nextInt(MIN_LATE_MS, MAX_LATE_MS);
				Mono.delay(Duration.ofMillis(ms)).subscribe((t) -> decide(n));
				return Mono.never();
			}
			return s.status(decide(n)).send();
		}
		catch (IOException ex) {
			return s.status(400).send();
		}
	}

	private synchronized int decide(JsonNode n) {
		long token = n.path("fencing_token").asLong();
		if (token < this.highestToken) {
			return 412;
		}
		this.highestToken = token;
		if (this.busy || n.path("expected").asLong() != this.acceptedOrders) {
			return 409;
		}
		if (n.path("stage").asText().equals(this.stage)) {
			return 200;
		}
		this.acceptedOrders++;
		this.busy = true;
		Mono.delay(SWITCH_TIME).subscribe((t) -> changeTo(n.path("stage").asText()));
		return 202;
	}

	private synchronized void changeTo(String next) {
		this.stage = next;
		this.busy = false;
		register();
	}

	private synchronized Publisher<Void> reserve(HttpServerResponse s) {
		if (this.busy || !this.stage.equals("decode") || this.holds.size() + this.running.get() >= SLOTS) {
			return s.status(503).send();
		}
		String hold = "h" + this.sequence.incrementAndGet();
		this.holds.add(hold);
		Mono.delay(HOLD_TIME).subscribe((t) -> this.holds.remove(hold));
		return s.sendString(Mono.just("{\"hold\":\"" + hold + "\"}"));
	}

	private Publisher<Void> run(boolean prefill, HttpHeaders h, HttpServerResponse s) {
		String[] tokens = h.get("X-Token-Count", "1,1").split(",");
		Duration readTime = Duration.ofMillis(Integer.parseInt(tokens[0]) / PROMPT_TOKENS_PER_MS);
		if (prefill) {
			String handle = "{\"kv_handle\":\"kv" + this.sequence.incrementAndGet() + "\",\"tokens\":1,\"version\":1}";
			return s.sendString(Mono.just(handle).delayElement(readTime));
		}
		if (this.holds.remove(h.get("X-Hold", ""))) {
			this.running.incrementAndGet();
		}
		int events = 1 + Integer.parseInt(tokens[1]) / TOKENS_PER_EVENT;
		Duration start = h.contains("X-Kv-Source") ? Duration.ZERO : readTime.multipliedBy(2);
		Flux<ByteBuf> answer = Flux.range(1, events)
			.delayElements(EVENT_INTERVAL)
			.delaySubscription(start)
			.map((i) -> Unpooled.copiedBuffer("id: " + i + "\ndata: x\n\n", StandardCharsets.US_ASCII));
		s.header("X-Server-Stamp", "stamp-" + this.id).header("Content-Type", "text/event-stream");
		boolean counted = h.contains("X-Hold");
		return Mono.from(s.send(answer, (b) -> true))
			.doFinally((x) -> this.running.updateAndGet((n) -> counted ? Math.max(0, n - 1) : n));
	}

}
