package io.shallotspur.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

import io.shallotspur.adapter.http.JoinedHeads;
import io.shallotspur.adapter.http.SilentConnections;
import io.shallotspur.adapter.http.StallTimeout;
import io.shallotspur.adapter.http.UnrequestedBytes;
import io.shallotspur.adapter.http.WholeResponses;
import io.shallotspur.cfg.Endpoint;
import io.shallotspur.exc.StoreException;
import io.shallotspur.exc.StoreResponseTooLongException;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.registry.EraTracker;

/**
 * HTTP client of the platform's store. Confined to the event loop, on which responses are
 * delivered.
 * <p>
 * Every call has its own timeout for the beginning of its response, and every response a
 * timeout for its next bytes: a long response over a slow link must not end while it
 * arrives. A call that times out closes its connection: connections can fail silently
 * without a reset, and one that has lost a response delivers no further ones. A
 * connection on which bytes come without a call is closed, too. Only a whole second
 * response directly before the next cannot be told from it.
 * <p>
 * Responses from an earlier era of the store are dropped. The first response of a new era
 * is delivered only after the restore listener has been called.
 */
final class StoreClient {

	private static final int OK = 200;

	private static final int SERVER_ERROR = 500;

	private static final long ACQUIRE_TIMEOUT_MS = 1_000;

	private static final int CONNECT_TIMEOUT_MS = 500;

	/** The longest response that is read unless a call has its own limit, in bytes. */
	static final int MAX_RESPONSE_BYTES = 16 << 20;

	// One for the watch, one for lease renewals, and a spare in case one of them has
	// failed silently.
	private static final int MAX_CONNECTIONS = 3;

	private final HttpClient client;

	private final VmEventLoop loop;

	private final EraTracker eras = new EraTracker();

	private LongConsumer restoreListener = (era) -> {
	};

	StoreClient(Endpoint store, VmEventLoop loop) {
		this.loop = loop;
		ConnectionProvider pool = ConnectionProvider.builder("store")
			.maxConnections(MAX_CONNECTIONS)
			.pendingAcquireTimeout(Duration.ofMillis(ACQUIRE_TIMEOUT_MS))
			.build();
		// A watch waits for seconds without traffic.
		HttpClient checked = singleAnswers(WholeResponses.ensure(HttpClient.create(pool)));
		this.client = SilentConnections.detect(checked)
			.runOn(loop.resources(), false)
			.baseUrl("http://" + store)
			.disableRetry(true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true);
	}

	private static HttpClient singleAnswers(HttpClient c) {
		return UnrequestedBytes.closeOn(JoinedHeads.reject(c), StoreClient::logUnrequested);
	}

	private static void logUnrequested(Channel connection) {
		Logger.info("[store] unrequested bytes connection={}", connection.id().asShortText());
	}

	/**
	 * Sets the listener for restores of the store from an older snapshot.
	 * @param listener called with the new era
	 */
	void onRestored(LongConsumer listener) {
		this.restoreListener = listener;
	}

	/**
	 * Returns the store's era: how often it has been restored from a snapshot.
	 * @return the era; 0 if the store reports none
	 */
	long era() {
		return this.eras.era();
	}

	/**
	 * Returns whether the store has responded at least once.
	 * @return {@code false} if its era cannot be known yet
	 */
	boolean hasAnswered() {
		return this.eras.initialized();
	}

	/**
	 * Makes a call whose response may have up to {@link #MAX_RESPONSE_BYTES}.
	 * @param method the method
	 * @param uri the path with its query
	 * @param body the body, or {@code null} if there is none
	 * @param timeoutMs how long to wait for the response to begin, in milliseconds
	 * @return the response, whatever its status; fails with
	 * {@link StoreUnavailableException} if there is no response from the current era
	 */
	Mono<Reply> call(HttpMethod method, String uri, @Nullable JsonNode body, long timeoutMs) {
		return call(method, uri, body, timeoutMs, MAX_RESPONSE_BYTES);
	}

	/**
	 * Makes a call.
	 * @param method the method
	 * @param uri the path with its query
	 * @param body the body, or {@code null} if there is none
	 * @param timeoutMs how long to wait for the response to begin, in milliseconds
	 * @param maxBytes the longest body that is read, in bytes
	 * @return the response, whatever its status; fails with
	 * {@link StoreResponseTooLongException} if its body is longer, and with
	 * {@link StoreUnavailableException} if there is no response from the current era
	 */
	Mono<Reply> call(HttpMethod method, String uri, @Nullable JsonNode body, long timeoutMs, int maxBytes) {
		ByteBuf buf = (body != null) ? Unpooled.wrappedBuffer(bytes(body)) : Unpooled.EMPTY_BUFFER;
		Flux<Part> parts = this.client.headers((h) -> {
			h.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
			h.set(HttpHeaderNames.CONTENT_LENGTH, buf.readableBytes());
		})
			.request(method)
			.uri(uri)
			.send(Mono.just(buf))
			.response((r, content) -> parts(r, content, uri, maxBytes, this.loop.scheduler()));
		return parts
			.timeout(Mono.delay(Duration.ofMillis(timeoutMs), this.loop.scheduler()),
					(p) -> Mono.delay(Duration.ofMillis(p.timeoutMs()), this.loop.scheduler()))
			.collect(Response::new, Response::add)
			.flatMap((r) -> reply(r, uri))
			.onErrorMap((ex) -> !(ex instanceof StoreException),
					(ex) -> new StoreUnavailableException("The store did not respond: " + ex, uri, ex));
	}

	// The head comes first and by itself, so that the timeout for the beginning of the
	// response ends with it.
	private static Flux<Part> parts(HttpClientResponse r, ByteBufFlux content, String uri, int maxBytes,
			Scheduler clock) {
		OptionalLong declared = declaredLength(r);
		if (declared.isPresent() && declared.getAsLong() > maxBytes) {
			return Flux.error(new StoreResponseTooLongException(declared.getAsLong(), maxBytes, uri));
		}
		AtomicLong received = new AtomicLong();
		long begunAt = clock.now(TimeUnit.MILLISECONDS);
		Flux<Part> body = content.asByteArray().handle((b, sink) -> {
			if (received.addAndGet(b.length) > maxBytes) {
				sink.error(new StoreResponseTooLongException(received.get(), maxBytes, uri));
			}
			else {
				long elapsedMs = clock.now(TimeUnit.MILLISECONDS) - begunAt;
				sink.next(new Part(r, b, StallTimeout.remainingMs(received.get(), elapsedMs)));
			}
		});
		return Flux.concat(Flux.just(new Part(r, new byte[0], StallTimeout.START_MS)), body);
	}

	private static OptionalLong declaredLength(HttpClientResponse r) {
		String length = r.responseHeaders().get(HttpHeaderNames.CONTENT_LENGTH);
		try {
			return (length != null) ? OptionalLong.of(Long.parseLong(length.strip())) : OptionalLong.empty();
		}
		catch (NumberFormatException ex) {
			// The decoder fails on such a length.
			return OptionalLong.empty();
		}
	}

	private static byte[] bytes(JsonNode n) {
		return n.toString().getBytes(StandardCharsets.UTF_8);
	}

	private Mono<Reply> reply(Response response, String uri) {
		HttpClientResponse r = response.head();
		byte[] body = response.body();
		int status = r.status().code();
		if (!acceptEra(r.responseHeaders().get(PlatformNames.STORE_ERA), status)) {
			return Mono.error(new StoreUnavailableException("The response is from an outdated era of the store.", uri));
		}
		if (body.length == 0 && status == OK && WholeResponses.endsWithConnection(status, r.responseHeaders())) {
			return Mono.error(new StoreUnavailableException("The response ended before its body.", uri));
		}
		try {
			JsonNode n = (body.length > 0) ? StoreEntryCodec.JSON.readTree(body)
					: StoreEntryCodec.JSON.createObjectNode();
			return Mono.just(new Reply(status, n, this.eras.era(), body.length));
		}
		catch (IOException ex) {
			return Mono.error(new StoreUnavailableException("The store's response is not JSON.", uri, ex));
		}
	}

	// Server errors without an era are accepted: they carry no store data, and may come
	// from a component in front of the store.
	private boolean acceptEra(@Nullable String header, int status) {
		OptionalLong era = parseEra(header);
		if (era.isEmpty() && status >= SERVER_ERROR) {
			return true;
		}
		return switch (this.eras.observe(era)) {
			case CURRENT -> true;
			case RESTORED -> {
				this.restoreListener.accept(this.eras.era());
				yield true;
			}
			case OUTDATED -> {
				Logger.warn("[store] outdated response dropped era=\"{}\" known={}", header, this.eras.era());
				yield false;
			}
		};
	}

	private static OptionalLong parseEra(@Nullable String header) {
		if (header == null) {
			return OptionalLong.empty();
		}
		try {
			return OptionalLong.of(Long.parseLong(header.strip()));
		}
		catch (NumberFormatException ex) {
			Logger.warn("[store] invalid era header seen=\"{}\"", header);
			return OptionalLong.empty();
		}
	}

	/**
	 * A part of a response.
	 *
	 * @param head the head of the response
	 * @param bytes bytes of its body
	 * @param timeoutMs the timeout for the next part, in milliseconds
	 */
	private record Part(HttpClientResponse head, byte[] bytes, long timeoutMs) {

	}

	/**
	 * Collects the parts of a response. Not thread-safe.
	 */
	private static final class Response {

		private @Nullable HttpClientResponse head;

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		void add(Part p) {
			this.head = p.head();
			this.body.writeBytes(p.bytes());
		}

		HttpClientResponse head() {
			return Objects.requireNonNull(this.head);
		}

		byte[] body() {
			return this.body.toByteArray();
		}

	}

	/**
	 * A response. Immutable.
	 *
	 * @param status the status
	 * @param body the body; an empty object if there was none
	 * @param era the era of the store when it sent the response: how often it had been
	 * restored from a snapshot, by its own count
	 * @param bytes the length of the body, in bytes
	 */
	record Reply(int status, JsonNode body, long era, int bytes) {

	}

}
