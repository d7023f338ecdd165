package io.shallotspur.platform;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.gateway.WorkerStage;

/**
 * A fake plain, prefill or decode worker. Responds normally unless a behaviour is queued
 * for the next request. Thread-safe.
 */
final class FakeWorker {

	final Queue<Behaviour> nextBehaviours = new ConcurrentLinkedQueue<>();

	final List<HttpHeaders> receivedHeaders = new CopyOnWriteArrayList<>();

	final List<String> receivedRequests = new CopyOnWriteArrayList<>();

	final AtomicInteger closedConnections = new AtomicInteger();

	final List<String> orders = new CopyOnWriteArrayList<>();

	volatile int orderStatus = 202;

	volatile boolean answersReports = true;

	final CountDownLatch reportReceived = new CountDownLatch(1);

	// The Server-Limit header of its responses, in requests per second; empty for none.
	volatile String rateLimit = "";

	// The Retry-After header with which it refuses prefills; empty if it accepts them.
	volatile String refusePrefillsWith = "";

	// A request with this body ends the worker when it begins to run it; null for none.
	volatile @Nullable String crashingBody;

	// A request with this shared part in its prompt ends the worker when it begins to
	// write an answer; null for none.
	volatile @Nullable String crashingPart;

	// Run after the worker has ended in that way.
	volatile Runnable onCrash = () -> {
	};

	private final AtomicBoolean crashed = new AtomicBoolean();

	private final Queue<Connection> connections = new ConcurrentLinkedQueue<>();

	// Further header fields of all its responses, to requests and to control calls.
	final Map<String, String> responseFields = new ConcurrentHashMap<>();

	private final DisposableServer server;

	// The version of its software.
	volatile String version = "v1";

	private final String id;

	private final String stage;

	FakeWorker(String id, String stage) {
		this.id = id;
		this.stage = stage;
		this.server = HttpServer.create()
			.host("127.0.0.1")
			.port(0)
			.doOnConnection(this.connections::add)
			.handle(this::handle)
			.bindNow();
	}

	String id() {
		return this.id;
	}

	String entry(String upstream, String state) {
		return entry(upstream, state, this.server.port());
	}

	// The entry as seen by a VM that reaches the worker at another port.
	String entry(String upstream, String state, int port) {
		return """
				{"service":"%s","address":"127.0.0.1:%d","zone":"hall-a","version":"%s","slots":6,"state":"%s",
				"cold_remaining_ms":0,%s"models":[],"sequence_number":1}""".formatted(upstream, port, this.version,
				state, this.stage.isEmpty() ? "" : "\"stage\":\"" + this.stage + "\",");
	}

	int port() {
		return this.server.port();
	}

	WorkerInfo info(WorkerStage stage) {
		return info(stage, this.server.port());
	}

	// The worker as a VM knows it that reaches it at another port.
	WorkerInfo info(WorkerStage stage, int port) {
		return new WorkerInfo(this.id, "llm", "127.0.0.1", port, "hall-a", 6, stage, false, 0, 0, "v1");
	}

	void stop() {
		this.server.disposeNow();
	}

	boolean hasCrashed() {
		return this.crashed.get();
	}

	// Ends as a process does: nothing listens any more, and all connections are closed.
	private void crash() {
		this.server.disposeNow();
		this.connections.forEach(Connection::dispose);
		this.onCrash.run();
	}

	private Publisher<Void> handle(HttpServerRequest q, HttpServerResponse s) {
		return q.receive().aggregate().asString().defaultIfEmpty("").flatMap((body) -> Mono.from(answer(q, s, body)));
	}

	private Publisher<Void> answer(HttpServerRequest q, HttpServerResponse s, String body) {
		this.responseFields.forEach(s::header);
		if (q.uri().equals("/api/hold-take")) {
			return s.sendString(Mono.just("{\"hold\":\"h1\"}"));
		}
		if (q.uri().equals("/api/report")) {
			this.reportReceived.countDown();
			if (!this.answersReports) {
				return Mono.never();
			}
			return s
				.sendString(Mono.just("{\"stage\":\"%s\",\"busy\":false,\"sequence_number\":4}".formatted(this.stage)));
		}
		if (q.uri().equals("/api/order")) {
			this.orders.add(body);
			return s.status(this.orderStatus).send();
		}
		if (q.uri().startsWith("/api/")) {
			return s.send();
		}
		this.receivedHeaders.add(q.requestHeaders());
		this.receivedRequests.add(q.method() + " " + q.uri() + " " + body);
		s.header("X-Request-Id", q.requestHeaders().get("X-Request-Id", ""));
		if (!this.rateLimit.isEmpty()) {
			s.header("Server-Limit", this.rateLimit);
		}
		if ("prefill".equals(q.requestHeaders().get("X-Stage"))) {
			if (!this.refusePrefillsWith.isEmpty()) {
				return refuseAsFull(s.header("Retry-After", this.refusePrefillsWith));
			}
			return s.sendString(Mono.just("{\"kv_handle\":\"kv1\",\"tokens\":1,\"version\":1}"));
		}
		if ((body.equals(this.crashingBody) || hasCrashingPart(q)) && this.crashed.compareAndSet(false, true)) {
			Schedulers.boundedElastic().schedule(this::crash);
			return Mono.never();
		}
		if (this.crashed.get()) {
			return closeWithoutResponse(s);
		}
		Behaviour b = this.nextBehaviours.poll();
		return (b != null) ? b.answer(s) : normalResponse(s);
	}

	private boolean hasCrashingPart(HttpServerRequest q) {
		String part = this.crashingPart;
		String parts = q.requestHeaders().get("X-Prompt-Prefix", "");
		return part != null && Stream.of(parts.split(",")).anyMatch((p) -> p.startsWith(part + ":"));
	}

	private Publisher<Void> normalResponse(HttpServerResponse s) {
		s.header("X-Server-Stamp", "stamp-" + this.id).header("X-Server-Load", "1,0,6");
		if (this.stage.isEmpty()) {
			return s.sendString(Mono.just("fine from " + this.id));
		}
		return s.header("Content-Type", "text/event-stream")
			.sendString(Flux.just("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"));
	}

	// Refuses the request as not executed.
	static Publisher<Void> refuseAsFull(HttpServerResponse s) {
		return s.status(503).header("X-Not-Executed", "1").send();
	}

	// Closes the connection without a response.
	static Publisher<Void> closeWithoutResponse(HttpServerResponse s) {
		return s.withConnection((c) -> c.channel().close()).neverComplete();
	}

	// Sends fewer bytes than its Content-Length.
	static Publisher<Void> truncatedBody(HttpServerResponse s) {
		s.header("X-Server-Stamp", "x").header("Content-Length", "100");
		return s.sendByteArray(Flux.just("half".getBytes()).concatWith(Flux.error(new RuntimeException())));
	}

	// Sends the response to another request.
	static Publisher<Void> responseToOtherRequest(HttpServerResponse s) {
		return s.header("X-Request-Id", "other").header("X-Server-Stamp", "x").sendString(Mono.just("not yours"));
	}

	// Sends the second event of a stream some time after the first.
	Publisher<Void> slowStream(HttpServerResponse s, Duration pause) {
		Flux<String> events = Flux.just("id: 1\ndata: a\n\n")
			.concatWith(Mono.just("id: 2\ndata: b\n\n").delaySubscription(pause));
		return s.header("X-Server-Stamp", "stamp-" + this.id)
			.header("Content-Type", "text/event-stream")
			.send(events.map((e) -> Unpooled.copiedBuffer(e, StandardCharsets.US_ASCII)), (b) -> true);
	}

	// Sends a stream that has neither a length nor chunks and ends with its connection.
	Publisher<Void> unframedStream(HttpServerResponse s) {
		return unframed(s, () -> s.withConnection((c) -> c.channel().close()));
	}

	// Sends the beginning of such a stream, and ends as a process does.
	Publisher<Void> unframedStreamOfACrash(HttpServerResponse s) {
		return unframed(s, () -> {
			this.crashed.set(true);
			Schedulers.boundedElastic().schedule(this::crash);
		});
	}

	// A body that is a single buffer would get a length.
	private Publisher<Void> unframed(HttpServerResponse s, Runnable end) {
		Flux<String> body = Flux.just("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n")
			.concatWith(Mono.<String>never()
				.doOnSubscribe((x) -> Schedulers.parallel().schedule(end, 50, TimeUnit.MILLISECONDS)));
		s.header("X-Server-Stamp", "stamp-" + this.id).header("Content-Type", "text/event-stream");
		return s.keepAlive(false)
			.chunkedTransfer(false)
			.send(body.map((e) -> Unpooled.copiedBuffer(e, StandardCharsets.US_ASCII)), (b) -> true);
	}

	// Ends the stream in the middle of an event.
	static Publisher<Void> truncatedStream(HttpServerResponse s) {
		s.header("X-Server-Stamp", "x").header("Content-Type", "text/event-stream");
		return s.sendString(Flux.just("id: 1\ndata: a\n\n", "id: 2\nda").concatWith(Flux.error(new RuntimeException())),
				StandardCharsets.UTF_8);
	}

	// Never responds; counts the closing of its connection.
	Publisher<Void> noResponse(HttpServerResponse s) {
		s.withConnection((c) -> c.channel().closeFuture().addListener((f) -> this.closedConnections.incrementAndGet()));
		return Mono.never();
	}

	/**
	 * The response to one request.
	 */
	@FunctionalInterface
	interface Behaviour {

		Publisher<Void> answer(HttpServerResponse response);

	}

}
