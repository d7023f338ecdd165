package io.shallotspur.standin.store;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

import io.shallotspur.port.StoreRecord;
import io.shallotspur.standin.CallEcho;

/**
 * Stands in for the platform's key-value service over HTTP/JSON. It can be told to fail,
 * by {@link #setFaults} or by a {@code PUT} of {@link StoreFaults} to {@code /v1/faults},
 * and tells its {@link StoreCalls} at {@code /v1/calls}. Thread-safe.
 */
public final class StoreStandin {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int CONFLICT = 409;

	private static final int TOO_LARGE = 413;

	private static final int UNAVAILABLE = 503;

	private static final int MAX_VALUE = 1 << 20;

	private final StandinRecords records;

	private final AtomicReference<StoreFaults> faults = new AtomicReference<>(StoreFaults.NONE);

	private final Set<Watch> watches = ConcurrentHashMap.newKeySet();

	private final AtomicLong reads = new AtomicLong();

	private final AtomicLong writes = new AtomicLong();

	private final AtomicLong watchCalls = new AtomicLong();

	private @Nullable DisposableServer server;

	/**
	 * Creates an empty store.
	 * @param clock gives the time that leases are counted by, in milliseconds
	 */
	public StoreStandin(LongSupplier clock) {
		this.records = new StandinRecords(clock);
	}

	/**
	 * Starts to listen.
	 * @param host the address
	 * @param port the port, 0 for any free one
	 * @return the bound address
	 */
	public InetSocketAddress start(String host, int port) {
		DisposableServer s = HttpServer.create().host(host).port(port).handle(CallEcho.on(routes())).bindNow();
		this.server = s;
		return (InetSocketAddress) s.address();
	}

	/**
	 * Stops listening; the records stay and are served again after the next start.
	 */
	public void stop() {
		endWatches();
		DisposableServer s = this.server;
		if (s != null) {
			s.disposeNow();
		}
	}

	/**
	 * Sets what goes wrong from now on.
	 * @param faults the faults
	 */
	public void setFaults(StoreFaults faults) {
		this.faults.set(faults);
		if (faults.down()) {
			endWatches();
		}
	}

	/**
	 * Returns the calls counted so far.
	 * @return the counters
	 */
	public StoreCalls calls() {
		return new StoreCalls(this.reads.get(), this.writes.get(), this.watchCalls.get(), this.watches.size());
	}

	private HttpServerRoutes routes() {
		return HttpServerRoutes.newRoutes()
			.get("/v1/record", this::get)
			.put("/v1/record", this::put)
			.get("/v1/records", this::list)
			.get("/v1/watch", this::watch)
			.put("/v1/lease", this::lease)
			.delete("/v1/lease", this::release)
			.put("/v1/faults", this::takeFaults)
			.get("/v1/calls", (q, s) -> json(s, OK, calls()));
	}

	private Publisher<Void> get(HttpServerRequest q, HttpServerResponse s) {
		this.reads.incrementAndGet();
		return answer(s, () -> {
			StoreRecord rec = this.records.get(param(q, "key"));
			return (rec != null) ? json(s, OK, rec) : status(s, NOT_FOUND);
		});
	}

	private Publisher<Void> list(HttpServerRequest q, HttpServerResponse s) {
		this.reads.incrementAndGet();
		return answer(s, () -> json(s, OK, this.records.list(param(q, "prefix"))));
	}

	private Publisher<Void> put(HttpServerRequest q, HttpServerResponse s) {
		this.writes.incrementAndGet();
		return body(q).flatMap((value) -> {
			if (value.length > MAX_VALUE) {
				return Mono.from(status(s, TOO_LARGE));
			}
			return write(s, () -> swap(q, s, value));
		});
	}

	private Publisher<Void> swap(HttpServerRequest q, HttpServerResponse s, byte[] value) {
		StoreRecord rec = this.records.compareAndSwap(param(q, "key"), Long.parseLong(param(q, "expected")), value);
		if (rec == null) {
			return status(s, CONFLICT);
		}
		announce(rec);
		return json(s, OK, new Written(rec.version()));
	}

	private Publisher<Void> lease(HttpServerRequest q, HttpServerResponse s) {
		this.writes.incrementAndGet();
		return write(s, () -> json(s, OK,
				this.records.lease(param(q, "name"), param(q, "holder"), Long.parseLong(param(q, "ttl_ms")))));
	}

	private Publisher<Void> release(HttpServerRequest q, HttpServerResponse s) {
		this.writes.incrementAndGet();
		return write(s, () -> {
			this.records.release(param(q, "name"), param(q, "holder"));
			return status(s, OK);
		});
	}

	private Publisher<Void> watch(HttpServerRequest q, HttpServerResponse s) {
		this.watchCalls.incrementAndGet();
		if (this.faults.get().down()) {
			return status(s, UNAVAILABLE);
		}
		Watch w = new Watch(param(q, "prefix"), Sinks.many().unicast().onBackpressureBuffer());
		this.watches.add(w);
		Flux<ByteBuf> changes = w.changes().asFlux().map((r) -> bytes(r)).doFinally((x) -> this.watches.remove(w));
		s.withConnection((c) -> c.onDispose(() -> this.watches.remove(w)));
		s.header("Content-Type", "application/x-ndjson");
		return s.sendHeaders().send(changes, (b) -> true);
	}

	private Publisher<Void> takeFaults(HttpServerRequest q, HttpServerResponse s) {
		return body(q).flatMap((b) -> {
			try {
				setFaults(JSON.readValue(b, StoreFaults.class));
				return Mono.from(status(s, OK));
			}
			catch (IOException ex) {
				return Mono.from(status(s, CONFLICT));
			}
		});
	}

	private Mono<Void> write(HttpServerResponse s, Supplier<Publisher<Void>> effect) {
		StoreFaults f = this.faults.getAndUpdate((x) -> {
			if (x.dropBeforeEffect() > 0) {
				return x.withOneBeforeLess();
			}
			return (x.dropAfterEffect() > 0) ? x.withOneAfterLess() : x;
		});
		if (f.down()) {
			return Mono.from(status(s, UNAVAILABLE));
		}
		if (f.dropBeforeEffect() > 0) {
			return drop(s);
		}
		if (f.dropAfterEffect() > 0) {
			effect.get();
			return drop(s);
		}
		return delayed(f, effect.get());
	}

	private Mono<Void> answer(HttpServerResponse s, Supplier<Publisher<Void>> call) {
		StoreFaults f = this.faults.get();
		return f.down() ? Mono.from(status(s, UNAVAILABLE)) : delayed(f, call.get());
	}

	private static Mono<Void> delayed(StoreFaults f, Publisher<Void> answer) {
		Mono<Void> a = Mono.from(answer);
		return (f.delayMs() > 0) ? Mono.delay(Duration.ofMillis(f.delayMs())).then(a) : a;
	}

	private static Mono<Void> drop(HttpServerResponse s) {
		s.withConnection((c) -> c.channel().close());
		return Mono.never();
	}

	private void announce(StoreRecord rec) {
		if (this.faults.get().staleWatches()) {
			return;
		}
		for (Watch w : this.watches) {
			if (rec.key().startsWith(w.prefix())) {
				synchronized (w) {
					w.changes().tryEmitNext(rec);
				}
			}
		}
	}

	private void endWatches() {
		List.copyOf(this.watches).forEach((w) -> w.changes().tryEmitComplete());
		this.watches.clear();
	}

	private static Mono<byte[]> body(HttpServerRequest q) {
		return q.receive().aggregate().asByteArray().defaultIfEmpty(new byte[0]);
	}

	private static Publisher<Void> status(HttpServerResponse s, int status) {
		return s.status(status).send();
	}

	private static Publisher<Void> json(HttpServerResponse s, int status, Object value) {
		return s.status(status).header("Content-Type", "application/json").send(Mono.just(bytes(value)));
	}

	private static ByteBuf bytes(Object value) {
		try {
			return Unpooled.wrappedBuffer(JSON.writeValueAsBytes(value));
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static String param(HttpServerRequest q, String name) {
		List<String> v = new QueryStringDecoder(q.uri()).parameters().get(name);
		return (v != null) ? v.get(0) : "";
	}

	/**
	 * The answer to a compare-and-swap.
	 *
	 * @param version the new version
	 */
	private record Written(long version) {

	}

	/**
	 * An open watch; a class and not a record because two watches of one prefix differ.
	 */
	private static final class Watch {

		private final String prefix;

		private final Sinks.Many<StoreRecord> changes;

		private Watch(String prefix, Sinks.Many<StoreRecord> changes) {
			this.prefix = Objects.requireNonNull(prefix);
			this.changes = changes;
		}

		private String prefix() {
			return this.prefix;
		}

		private Sinks.Many<StoreRecord> changes() {
			return this.changes;
		}

	}

}
