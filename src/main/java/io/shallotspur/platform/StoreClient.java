package io.shallotspur.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.LongConsumer;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import jdk.net.ExtendedSocketOptions;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

import io.shallotspur.cfg.Endpoint;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.registry.EraTracker;

/**
 * Calls to the platform's store. Confined to the event loop, on which answers come.
 * <p>
 * Every call has a time limit of its own, and one that passes it closes its connection:
 * connections go silent without a reset, and one that has lost an answer brings no other.
 * <p>
 * An answer of an earlier era of the store is dropped, and one that is the first of a new
 * era is taken only after who is to hear of it has been told.
 */
final class StoreClient {

	private static final int SERVER_FAILS = 500;

	private static final long ACQUIRE_TIMEOUT_MS = 1_000;

	private static final int CONNECT_TIMEOUT_MS = 500;

	// One watch, one renewal, and one to spare when either has gone silent.
	private static final int CONNECTIONS = 3;

	// A watch waits for seconds without a byte. Probes of its connection, s and their
	// number: a path that has gone silent is noticed after three seconds.
	private static final int PROBE_AFTER_S = 1;

	private static final int PROBE_EACH_S = 1;

	private static final int MOST_PROBES = 2;

	private final HttpClient client;

	private final Loop loop;

	private final EraTracker eras = new EraTracker();

	private LongConsumer onRestored = (era) -> {
	};

	StoreClient(Endpoint store, Loop loop) {
		this.loop = loop;
		ConnectionProvider pool = ConnectionProvider.builder("store")
			.maxConnections(CONNECTIONS)
			.pendingAcquireTimeout(Duration.ofMillis(ACQUIRE_TIMEOUT_MS))
			.build();
		this.client = HttpClient.create(pool)
			.runOn(loop.resources(), false)
			.baseUrl("http://" + store)
			.disableRetry(true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_AFTER_S)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_EACH_S)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), MOST_PROBES);
	}

	/**
	 * Says who is to hear that the store has come back from an older copy.
	 * @param then called with the new era
	 */
	void whenRestored(LongConsumer then) {
		this.onRestored = then;
	}

	/**
	 * Returns the store's era.
	 * @return the era; 0 if the store tells none
	 */
	long era() {
		return this.eras.era();
	}

	/**
	 * Tells whether the store has answered yet.
	 * @return {@code false} if its era cannot be known
	 */
	boolean begun() {
		return this.eras.initialized();
	}

	/**
	 * Makes a call.
	 * @param method the method
	 * @param uri the path with its query
	 * @param body the body, or {@code null} if there is none
	 * @param timeoutMs how long to wait, in milliseconds
	 * @return the answer, whatever its status; signals {@link StoreUnavailableException}
	 * if there is none of the present era
	 */
	Mono<Reply> call(HttpMethod method, String uri, @Nullable JsonNode body, long timeoutMs) {
		ByteBuf buf = (body != null) ? Unpooled.wrappedBuffer(bytes(body)) : Unpooled.EMPTY_BUFFER;
		return this.client.headers((h) -> {
			h.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
			h.set(HttpHeaderNames.CONTENT_LENGTH, buf.readableBytes());
		})
			.request(method)
			.uri(uri)
			.send(Mono.just(buf))
			.responseSingle(
					(r, content) -> content.asByteArray().defaultIfEmpty(new byte[0]).flatMap((b) -> reply(r, b, uri)))
			.timeout(Duration.ofMillis(timeoutMs), this.loop.scheduler())
			.onErrorMap((ex) -> !(ex instanceof StoreUnavailableException),
					(ex) -> new StoreUnavailableException("The store did not answer: " + ex, uri, ex));
	}

	private static byte[] bytes(JsonNode n) {
		return n.toString().getBytes(StandardCharsets.UTF_8);
	}

	private Mono<Reply> reply(HttpClientResponse r, byte[] body, String uri) {
		int status = r.status().code();
		if (!place(r.responseHeaders().get(Names.STORE_ERA), status)) {
			return Mono.error(new StoreUnavailableException("The answer is not of the store's present era.", uri));
		}
		try {
			JsonNode n = (body.length > 0) ? EntryDecoder.JSON.readTree(body) : EntryDecoder.JSON.createObjectNode();
			return Mono.just(new Reply(status, n, this.eras.era()));
		}
		catch (IOException ex) {
			return Mono.error(new StoreUnavailableException("The store's answer is not JSON.", uri, ex));
		}
	}

	// A refusal says nothing of what is in the store, and may come from before it.
	private boolean place(@Nullable String told, int status) {
		OptionalLong era = era(told);
		if (era.isEmpty() && status >= SERVER_FAILS) {
			return true;
		}
		return switch (this.eras.observe(era)) {
			case CURRENT -> true;
			case RESTORED -> {
				this.onRestored.accept(this.eras.era());
				yield true;
			}
			case OUTDATED -> {
				Logger.warn("[store] answer dropped era=\"{}\" known={}", told, this.eras.era());
				yield false;
			}
		};
	}

	private static OptionalLong era(@Nullable String told) {
		if (told == null) {
			return OptionalLong.empty();
		}
		try {
			return OptionalLong.of(Long.parseLong(told.strip()));
		}
		catch (NumberFormatException ex) {
			Logger.warn("[store] era not readable seen=\"{}\"", told);
			return OptionalLong.empty();
		}
	}

	/**
	 * An answer. Immutable.
	 *
	 * @param status the status
	 * @param body the body; an empty object if there was none
	 * @param era the era of the store that it shows
	 */
	record Reply(int status, JsonNode body, long era) {

	}

}
