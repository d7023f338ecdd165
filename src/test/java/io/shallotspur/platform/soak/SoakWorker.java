package io.shallotspur.platform.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import io.shallotspur.platform.FakeStore;

/**
 * A stand-in for a worker that keeps the platform's protocol: places, reservations, KV
 * caches, orders, incarnations. It writes down what it runs. Thread-safe.
 */
final class SoakWorker {

	static final int EVENTS = 12;

	private static final int SLOTS = 6;

	private static final Duration STEP = Duration.ofMillis(25);

	private static final Duration PREFILL = Duration.ofMillis(40);

	private static final Duration SWITCH = Duration.ofMillis(900);

	private static final Duration LEAVES = Duration.ofMillis(3_500);

	private static final ObjectMapper JSON = new ObjectMapper();

	private final String upstream;

	private final int number;

	private final FakeStore store;

	private final Evidence evidence;

	private final LoopbackProxy proxy;

	// Which request a KV cache belongs to, over all workers.
	private final Map<String, String> caches;

	private final AtomicInteger incarnation = new AtomicInteger();

	private volatile Life life;

	// Entries that were removed; a store that comes back from a copy may have them again.
	private final Set<String> removed = ConcurrentHashMap.newKeySet();

	SoakWorker(String upstream, int number, String stage, FakeStore store, Evidence evidence,
			Map<String, String> caches) throws IOException {
		this.upstream = upstream;
		this.number = number;
		this.store = store;
		this.evidence = evidence;
		this.caches = caches;
		this.life = new Life(stage);
		this.proxy = new LoopbackProxy(this.life.server.port());
		register("ready");
	}

	static String plain(String id, String worker) {
		return "plain answer to " + id + " by " + worker;
	}

	static String stream(String id, int after) {
		return IntStream.rangeClosed(after + 1, EVENTS)
			.mapToObj((i) -> "id: " + i + "\ndata: " + id + " " + i + "\n\n")
			.collect(Collectors.joining());
	}

	/**
	 * The worker names a limit from now on, or none; one that starts again names none.
	 * @param perSecond requests a second; infinite for none
	 */
	synchronized void limit(double perSecond) {
		Life l = this.life;
		l.limitPerS = perSecond;
		this.evidence.limited(l.id, perSecond, Evidence.nowMs());
	}

	LoopbackProxy proxy() {
		return this.proxy;
	}

	/**
	 * The worker dies and comes back at once as another incarnation; the entry of the
	 * former one lapses later.
	 */
	synchronized void crash() {
		Life old = this.life;
		old.server.disposeNow();
		this.proxy.reset();
		revive(old);
		Mono.delay(Duration.ofMillis(1_500), Schedulers.boundedElastic()).subscribe((t) -> remove(old));
	}

	/**
	 * The worker says that it leaves, goes on for two seconds and some more, and is
	 * replaced.
	 */
	synchronized void drain() {
		Life old = this.life;
		old.leaves = true;
		register("draining");
		old.leftAtMs = Evidence.nowMs();
		Mono.delay(LEAVES, Schedulers.boundedElastic()).subscribe((t) -> {
			remove(old);
			old.server.disposeNow();
			revive(old);
		});
	}

	private void remove(Life l) {
		this.removed.add(l.key());
		this.store.remove(l.key());
	}

	synchronized void writeAgain() {
		this.removed.forEach(this.store::remove);
		register(this.life.leaves ? "draining" : "ready");
	}

	private synchronized void revive(Life old) {
		if (this.life == old) {
			this.life = new Life(old.first);
			this.proxy.target(this.life.server.port());
			register("ready");
		}
	}

	synchronized void register(String state) {
		this.store.put(this.life.key(),
				"""
						{"service":"%s","address":"127.0.0.1:%d","zone":"hall-%d","version":"v1","slots":%d,"state":"%s",
						"cold_remaining_ms":0,%s"models":[],"sequence_number":1}"""
					.formatted(this.upstream, this.proxy.port(), this.number % 2, SLOTS, state,
							this.life.stage.isEmpty() ? "" : "\"stage\":\"" + this.life.stage + "\","));
	}

	void stop() {
		this.life.server.disposeNow();
		this.proxy.stop();
	}

	/**
	 * One incarnation.
	 */
	private final class Life {

		private final String id = SoakWorker.this.upstream + "-" + SoakWorker.this.number + "-"
				+ SoakWorker.this.incarnation.incrementAndGet();

		private final String first;

		private final Map<String, Boolean> holds = new ConcurrentHashMap<>();

		private final AtomicInteger busy = new AtomicInteger();

		private final AtomicLong names = new AtomicLong();

		private final AtomicLong fence = new AtomicLong();

		private final AtomicInteger orders = new AtomicInteger();

		private final DisposableServer server;

		private volatile String stage;

		private volatile boolean switching;

		private volatile boolean leaves;

		private volatile double limitPerS = Double.POSITIVE_INFINITY;

		private volatile long leftAtMs = Long.MAX_VALUE;

		private Life(String stage) {
			this.first = stage;
			this.stage = stage;
			this.server = HttpServer.create().host("127.0.0.1").port(0).handle(this::handle).bindNow();
		}

		private String key() {
			return "servers/" + this.id;
		}

		private Publisher<Void> handle(HttpServerRequest q, HttpServerResponse s) {
			return q.receive()
				.aggregate()
				.asString()
				.defaultIfEmpty("")
				.flatMap((body) -> Mono.from(answer(q, s, body)));
		}

		private Publisher<Void> answer(HttpServerRequest q, HttpServerResponse s, String body) {
			HttpHeaders h = q.requestHeaders();
			s.header("X-Request-Id", h.get("X-Request-Id", ""));
			if (!h.get("X-Expect-Instance", this.id).equals(this.id)) {
				return s.status(421).send();
			}
			if (this.limitPerS < Double.POSITIVE_INFINITY) {
				s.header("Server-Limit", Double.toString(this.limitPerS));
			}
			if (q.uri().startsWith("/api/")) {
				return call(q, s, body);
			}
			String id = h.get("X-Request-Id", "");
			if (this.stage.isEmpty()) {
				return plainRun(id, h, s);
			}
			if (this.switching) {
				return full(s);
			}
			SoakWorker.this.evidence.reached(id, this.id, this.leftAtMs, Evidence.nowMs());
			boolean prefill = "prefill".equals(h.get("X-Stage"));
			if (prefill != this.stage.equals("prefill")) {
				return s.status(421).send();
			}
			return prefill ? prefill(id, s) : decode(id, h, s);
		}

		private Publisher<Void> call(HttpServerRequest q, HttpServerResponse s, String body) {
			if (q.uri().equals("/api/hold-take")) {
				boolean free = !this.switching && this.holds.size() + this.busy.get() < SLOTS;
				if (!free || !this.stage.equals("decode")) {
					return s.status(503).send();
				}
				String hold = "h" + this.names.incrementAndGet();
				this.holds.put(hold, true);
				Mono.delay(Duration.ofSeconds(2)).subscribe((t) -> this.holds.remove(hold));
				return s.sendString(Mono.just("{\"hold\":\"" + hold + "\"}"));
			}
			if (q.uri().startsWith("/api/hold-drop/")) {
				this.holds.remove(q.uri().substring("/api/hold-drop/".length()));
			}
			if (q.uri().equals("/api/report")) {
				return s.sendString(Mono.just("{\"stage\":\"%s\",\"busy\":%s,\"sequence_number\":%d}"
					.formatted(this.stage, this.switching, this.orders.get())));
			}
			return q.uri().equals("/api/order") ? order(s, body) : s.send();
		}

		private synchronized Publisher<Void> order(HttpServerResponse s, String body) {
			try {
				JsonNode n = JSON.readTree(body);
				long f = n.path("fencing_token").asLong();
				if (f < this.fence.get()) {
					return s.status(412).send();
				}
				if (this.switching || n.path("expected").asLong() != this.orders.get()) {
					return s.status(409).send();
				}
				this.fence.set(f);
				this.orders.incrementAndGet();
				this.switching = true;
				SoakWorker.this.evidence.ordered(this.id, f);
				String next = n.path("stage").asText();
				Mono.delay(SWITCH).subscribe((t) -> {
					this.stage = next;
					this.switching = false;
					if (SoakWorker.this.life == this) {
						register(this.leaves ? "draining" : "ready");
					}
				});
				return s.status(202).send();
			}
			catch (IOException ex) {
				return s.status(400).send();
			}
		}

		private Publisher<Void> full(HttpServerResponse s) {
			return s.status(503).header("X-Not-Executed", "1").send();
		}

		private Publisher<Void> plainRun(String id, HttpHeaders h, HttpServerResponse s) {
			if (this.busy.incrementAndGet() > SLOTS) {
				this.busy.decrementAndGet();
				return full(s);
			}
			SoakWorker.this.evidence.reached(id, this.id, this.leftAtMs, Evidence.nowMs());
			SoakWorker.this.evidence.run(id, this.id);
			SoakWorker.this.evidence.ranFor(id, h.get("X-Tenant"), h.get("Authorization"));
			return Mono.delay(Duration.ofMillis(5 + Math.floorMod(id.hashCode(), 60)))
				.doFinally((x) -> this.busy.decrementAndGet())
				.then(Mono.defer(() -> Mono.from(s.header("X-Server-Stamp", "stamp-" + this.id)
					.header("X-Server-Load", this.busy.get() + ",0," + SLOTS)
					.sendString(Mono.just(plain(id, this.id))))));
		}

		private Publisher<Void> prefill(String id, HttpServerResponse s) {
			String handle = this.id + "-" + this.names.incrementAndGet();
			SoakWorker.this.caches.put(handle, id);
			return Mono.delay(PREFILL)
				.then(Mono.defer(() -> Mono.from(s
					.sendString(Mono.just("{\"kv_handle\":\"%s\",\"tokens\":1,\"version\":1}".formatted(handle))))));
		}

		private Publisher<Void> decode(String id, HttpHeaders h, HttpServerResponse s) {
			String source = h.get("X-Kv-Source");
			if (source != null) {
				String of = SoakWorker.this.caches.remove(source.substring(source.indexOf('/') + 1));
				if (of == null) {
					return full(s);
				}
				if (!of.equals(id)) {
					SoakWorker.this.evidence.broken("MIXED id=" + id + " goes on from the cache of " + of);
				}
			}
			if (h.get("X-Hold") != null) {
				this.holds.remove(h.get("X-Hold"));
			}
			if (this.busy.incrementAndGet() > SLOTS) {
				this.busy.decrementAndGet();
				return full(s);
			}
			SoakWorker.this.evidence.run(id, this.id);
			SoakWorker.this.evidence.ranFor(id, h.get("X-Tenant"), h.get("Authorization"));
			int after = Integer.parseInt(h.get("Last-Event-Id", "0"));
			Flux<String> events = Flux.range(after + 1, EVENTS - after)
				.delayElements(STEP)
				.map((i) -> "id: " + i + "\ndata: " + id + " " + i + "\n\n")
				.doFinally((x) -> this.busy.decrementAndGet());
			return s.header("X-Server-Stamp", "stamp-" + this.id)
				.header("Content-Type", "text/event-stream")
				.send(events.map((e) -> Unpooled.copiedBuffer(e, StandardCharsets.UTF_8)), (b) -> true);
		}

	}

}
