package io.shallotspur.standin;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Imitates one worker of a plain service. Thread-safe. It has no protection of its own
 * against a call that is sent twice, and counts the executions of each key.
 */
public final class PlainStandin {

	private final String name;

	private final long serviceMs;

	private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

	private final AtomicInteger active = new AtomicInteger();

	private volatile Fault fault = Fault.NONE;

	private volatile long stallMs;

	private @Nullable DisposableServer server;

	/**
	 * Creates a stand-in.
	 * @param name the name of the worker
	 * @param serviceMs how long a call takes, in milliseconds
	 */
	public PlainStandin(String name, long serviceMs) {
		this.name = name;
		this.serviceMs = serviceMs;
	}

	/**
	 * Starts to listen on any free port of 127.0.0.1.
	 * @return the address, {@code host:port}
	 */
	public Mono<String> start() {
		return start("127.0.0.1", 0);
	}

	/**
	 * Starts to listen.
	 * @param host the address
	 * @param port the port, or 0 for any that is free
	 * @return the address, {@code host:port}
	 */
	public Mono<String> start(String host, int port) {
		return HttpServer.create()
			.host(host)
			.port(port)
			.handle(CallEcho.on(this::handle))
			.bind()
			.doOnNext((s) -> this.server = s)
			.map((s) -> s.host() + ":" + s.port());
	}

	/**
	 * Stops.
	 */
	public void close() {
		if (this.server != null) {
			this.server.disposeNow();
		}
	}

	/**
	 * Calls for a fault in all calls to come.
	 * @param fault the fault
	 */
	public void setFault(Fault fault) {
		this.fault = fault;
	}

	/**
	 * Makes calls take longer.
	 * @param ms how much longer, in milliseconds
	 */
	public void setStall(long ms) {
		this.stallMs = ms;
	}

	/**
	 * Returns how often each key was run. Calls without a key are counted under their
	 * path.
	 * @return the executions by key
	 */
	public Map<String, AtomicInteger> runs() {
		return this.runs;
	}

	/**
	 * Returns how many calls are in progress.
	 * @return the number
	 */
	public int active() {
		return this.active.get();
	}

	private Publisher<Void> handle(HttpServerRequest req, HttpServerResponse res) {
		if (req.uri().equals("/debug/state")) {
			return state(res);
		}
		Fault f = this.fault;
		if (f == Fault.REFUSE) {
			return res.status(503).header("Shallotspur-Outcome", "not_run").send();
		}
		if (f == Fault.CLOSE_BEFORE) {
			return close(res);
		}
		String key = req.requestHeaders().get("Idempotency-Key");
		this.active.incrementAndGet();
		return req.receive()
			.aggregate()
			.asString()
			.defaultIfEmpty("")
			.delayElement(Duration.ofMillis(this.serviceMs + this.stallMs))
			.flatMap((body) -> run(res, (key != null) ? key : req.uri(), body, f))
			.doFinally((s) -> this.active.decrementAndGet());
	}

	private Mono<Void> run(HttpServerResponse res, String key, String body, Fault f) {
		int n = this.runs.computeIfAbsent(key, (k) -> new AtomicInteger()).incrementAndGet();
		if (f == Fault.CLOSE_AFTER) {
			return close(res);
		}
		String answer = "{\"worker\":\"" + this.name + "\",\"key\":\"" + key + "\",\"run\":" + n + ",\"bytes\":"
				+ body.length() + "}";
		return res.header("Content-Type", "application/json").sendString(Mono.just(answer)).then();
	}

	private Publisher<Void> state(HttpServerResponse res) {
		StringBuilder b = new StringBuilder("{\"active\":" + this.active.get() + ",\"runs\":{");
		this.runs.forEach((k, n) -> b.append((b.charAt(b.length() - 1) == '{') ? "" : ",")
			.append('"')
			.append(k)
			.append("\":")
			.append(n));
		return res.header("Content-Type", "application/json").sendString(Mono.just(b.append("}}").toString()));
	}

	private static Mono<Void> close(HttpServerResponse res) {
		res.withConnection((c) -> c.dispose());
		return Mono.empty();
	}

	/**
	 * A fault that can be called for.
	 */
	public enum Fault {

		/**
		 * Calls are run and answered.
		 */
		NONE,

		/**
		 * Calls are refused and not run.
		 */
		REFUSE,

		/**
		 * The connection is closed before the call is run.
		 */
		CLOSE_BEFORE,

		/**
		 * The call is run and the connection closed before its answer.
		 */
		CLOSE_AFTER

	}

}
