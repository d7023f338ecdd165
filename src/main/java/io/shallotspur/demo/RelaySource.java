package io.shallotspur.demo;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;

import io.netty.buffer.ByteBuf;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

import io.shallotspur.standin.CallEcho;

/**
 * An engine that does nothing but stream tokens, each of which says when it was written.
 * Thread-safe.
 */
final class RelaySource {

	private static final int THREADS = 4;

	private static final int RADIX = 36;

	/**
	 * Times are counted in microseconds modulo this number, so that a token has the
	 * length of a usual one.
	 */
	private static final long WRAP_US = 36L * 36 * 36 * 36 * 36;

	private final int intervalMs;

	private final int burst;

	private final LoopResources loops = LoopResources.create("source", THREADS, true);

	private final Scheduler timer = Schedulers.newParallel("source-timer", THREADS, true);

	private final DisposableServer server;

	RelaySource(int intervalMs, int burst) {
		this.intervalMs = intervalMs;
		this.burst = burst;
		this.server = HttpServer.create()
			.runOn(this.loops)
			.host("127.0.0.1")
			.port(0)
			.handle(CallEcho.on(this::handle))
			.bindNow();
	}

	String address() {
		return this.server.host() + ":" + this.server.port();
	}

	void close() {
		this.server.disposeNow();
		this.timer.dispose();
		this.loops.dispose();
	}

	/**
	 * Returns a token that says when it was written.
	 * @return its text
	 */
	static String stamp() {
		return " " + Long.toString(System.nanoTime() / 1000 % WRAP_US, RADIX);
	}

	/**
	 * Returns how old a token is.
	 * @param text its text, without the leading blank
	 * @return microseconds
	 */
	static long ageMicros(String text) {
		return Math.floorMod(System.nanoTime() / 1000 % WRAP_US - Long.parseLong(text, RADIX), WRAP_US);
	}

	private Publisher<Void> handle(HttpServerRequest req, HttpServerResponse res) {
		if (req.uri().contains("/decode/")) {
			return decode(res);
		}
		if (req.uri().endsWith("/reports")) {
			return res.header("Content-Type", "text/event-stream").sendString(Flux.never());
		}
		return req.receive()
			.then(res.header("Content-Type", "application/json")
				.sendString(Mono.just("{\"prompt_tokens\":1,\"computed_tokens\":1,\"streams\":[]}"))
				.then());
	}

	private Publisher<Void> decode(HttpServerResponse res) {
		Duration first = Duration.ofMillis(ThreadLocalRandom.current().nextInt(this.intervalMs));
		Flux<ByteBuf> writes = Flux.interval(first, Duration.ofMillis(this.intervalMs), this.timer)
			.onBackpressureDrop()
			.map((i) -> write(res, i));
		return res.header("Content-Type", "text/event-stream").send(writes, (b) -> true);
	}

	private ByteBuf write(HttpServerResponse res, long tick) {
		StringBuilder b = new StringBuilder();
		String t = stamp();
		for (int k = 0; k < this.burst; k++) {
			b.append("data: {\"i\":").append(tick * this.burst + k).append(",\"t\":\"").append(t).append("\"}\n\n");
		}
		return res.alloc().buffer(b.length()).writeBytes(b.toString().getBytes(StandardCharsets.US_ASCII));
	}

}
