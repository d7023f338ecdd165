package io.shallotspur.adapter.store;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.QueryStringEncoder;
import io.netty.handler.codec.json.JsonObjectDecoder;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

import io.shallotspur.adapter.http.CallIds;
import io.shallotspur.adapter.http.LimitedBody;
import io.shallotspur.adapter.http.WholeResponses;
import io.shallotspur.exc.StoreConflictException;
import io.shallotspur.exc.StoreException;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.exc.StoreUnknownException;
import io.shallotspur.port.KvStore;
import io.shallotspur.port.StoreLease;
import io.shallotspur.port.StoreRecord;

/**
 * The key-value service over the project's own HTTP/JSON. Thread-safe.
 * <p>
 * Invariant: a write that was handed to a connection and got no explicit answer fails as
 * {@link StoreUnknownException}; all other failures of a write mean that nothing was
 * written. The HTTP client never repeats a request by itself, and answers are tied to
 * their calls ({@link CallIds}).
 */
public final class HttpKvStore implements KvStore {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final TypeReference<List<StoreRecord>> RECORDS = new TypeReference<>() {
	};

	private static final int MAX_CONNECTIONS = 32;

	private static final int MAX_PENDING = 1024;

	// A listing may have all contracts, or the records of an hour. One that is longer
	// would not fit into the heap along with what is parsed of it.
	private static final int HEAP_PARTS = 16;

	private final HttpClient client;

	private final HttpClient watchClient;

	private final int maxAnswerBytes;

	/**
	 * Creates a client that reads answers of up to a sixteenth of the heap.
	 * @param baseUrl where the service is, without a trailing slash
	 * @param timeoutMs how long to wait for a connection and for an answer, in
	 * milliseconds
	 */
	public HttpKvStore(String baseUrl, long timeoutMs) {
		this(baseUrl, timeoutMs, (int) Math.min(Runtime.getRuntime().maxMemory() / HEAP_PARTS, Integer.MAX_VALUE / 2));
	}

	/**
	 * Creates a client.
	 * @param baseUrl where the service is, without a trailing slash
	 * @param timeoutMs how long to wait for a connection and for an answer, in
	 * milliseconds
	 * @param maxAnswerBytes the longest answer that is read, in bytes
	 */
	public HttpKvStore(String baseUrl, long timeoutMs, int maxAnswerBytes) {
		this.maxAnswerBytes = maxAnswerBytes;
		Duration timeout = Duration.ofMillis(timeoutMs);
		ConnectionProvider pool = ConnectionProvider.builder("store")
			.maxConnections(MAX_CONNECTIONS)
			.pendingAcquireMaxCount(MAX_PENDING)
			.pendingAcquireTimeout(timeout)
			.build();
		// The library would send a request again when a kept connection breaks. A
		// compare-and-swap that took effect would then be told as a conflict.
		HttpClient c = CallIds.tie(WholeResponses.ensure(HttpClient.create(pool))).baseUrl(baseUrl).disableRetry(true);
		this.client = c.responseTimeout(timeout);
		this.watchClient = WholeResponses.ensure(HttpClient.newConnection()).baseUrl(baseUrl).disableRetry(true);
	}

	@Override
	public Mono<StoreRecord> get(String key) {
		return read(url("/v1/record", "key", key), key, (b) -> parse(b, StoreRecord.class));
	}

	@Override
	public Mono<List<StoreRecord>> list(String prefix) {
		return read(url("/v1/records", "prefix", prefix), prefix, (b) -> parse(b, RECORDS));
	}

	@Override
	public Mono<Long> compareAndSwap(String key, long expected, byte[] value) {
		String url = url("/v1/record", "key", key, "expected", Long.toString(expected));
		return write(HttpMethod.PUT, url, key, value, (b) -> parse(b, StoreVersion.class).version());
	}

	@Override
	public Mono<StoreLease> lease(String name, String holder, long ttlMs) {
		String url = url("/v1/lease", "name", name, "holder", holder, "ttl_ms", Long.toString(ttlMs));
		return write(HttpMethod.PUT, url, name, new byte[0], (b) -> parse(b, StoreLease.class));
	}

	@Override
	public Mono<Void> release(String name, String holder) {
		return write(HttpMethod.DELETE, url("/v1/lease", "name", name, "holder", holder), name, new byte[0], (b) -> b)
			.then();
	}

	@Override
	public Flux<StoreRecord> watch(String prefix) {
		return this.watchClient.doOnResponse((r, c) -> c.addHandlerLast(new JsonObjectDecoder()))
			.get()
			.uri(url("/v1/watch", "prefix", prefix))
			.response((r, content) -> (r.status().code() == HttpResponseStatus.OK.code()) ? content.asByteArray()
					: Flux.error(refused(prefix, r.status().code())))
			.map((b) -> parse(b, StoreRecord.class))
			.concatWith(Mono.error(() -> new StoreUnavailableException("the watch ended", prefix)))
			.onErrorMap((ex) -> unavailable(prefix, ex));
	}

	private <T> Mono<T> read(String url, String key, Function<byte[], T> parser) {
		return this.client.get()
			.uri(url)
			.response((r, body) -> (r.status().code() == HttpResponseStatus.NOT_FOUND.code()) ? Mono.<byte[]>empty()
					: accept(r, key, body(body).filter((b) -> b.length > 0).switchIfEmpty(withoutBody(key))))
			.singleOrEmpty()
			.map(parser)
			.onErrorMap((ex) -> unavailable(key, ex));
	}

	private <T> Mono<T> write(HttpMethod method, String url, String key, byte[] body, Function<byte[], T> parser) {
		return Mono.defer(() -> {
			AtomicBoolean sent = new AtomicBoolean();
			return this.client.doOnRequest((q, c) -> sent.set(true))
				.request(method)
				.uri(url)
				.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
				.response((r, answer) -> accept(r, key, body(answer)))
				.singleOrEmpty()
				.map(parser)
				.onErrorMap((ex) -> sent.get() ? unknown(key, ex) : unavailable(key, ex));
		});
	}

	private static Mono<byte[]> accept(HttpClientResponse r, String key, Mono<byte[]> body) {
		int status = r.status().code();
		if (status == HttpResponseStatus.OK.code()) {
			return body;
		}
		if (status == HttpResponseStatus.CONFLICT.code()) {
			return Mono.error(new StoreConflictException("the record has another version", key));
		}
		boolean explicit = r.status().codeClass() != HttpStatusClass.SERVER_ERROR
				|| status == HttpResponseStatus.SERVICE_UNAVAILABLE.code();
		return Mono
			.error(explicit ? refused(key, status) : new StoreUnknownException("the store failed with " + status, key));
	}

	private Mono<byte[]> body(ByteBufFlux content) {
		return LimitedBody.readSteady(content, this.maxAnswerBytes);
	}

	private static <T> Mono<T> withoutBody(String key) {
		return Mono.error(() -> new StoreUnavailableException("the answer ended before its body", key));
	}

	private static StoreUnavailableException refused(String key, int status) {
		return new StoreUnavailableException("the store refused the call with " + status, key);
	}

	private static Throwable unavailable(String key, Throwable ex) {
		if (ex instanceof StoreUnavailableException) {
			return ex;
		}
		return new StoreUnavailableException("the store cannot be reached: " + ex.getMessage(), key, ex);
	}

	private static Throwable unknown(String key, Throwable ex) {
		if (ex instanceof StoreException) {
			return ex;
		}
		return new StoreUnknownException("the answer of the store was lost: " + ex.getMessage(), key, ex);
	}

	private static String url(String path, String... query) {
		QueryStringEncoder q = new QueryStringEncoder(path);
		for (int i = 0; i < query.length; i += 2) {
			q.addParam(query[i], query[i + 1]);
		}
		return q.toString();
	}

	private static <T> T parse(byte[] body, Class<T> type) {
		try {
			return JSON.readValue(body, type);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static <T> T parse(byte[] body, TypeReference<T> type) {
		try {
			return JSON.readValue(body, type);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * The answer to a compare-and-swap.
	 *
	 * @param version the new version
	 */
	private record StoreVersion(long version) {

	}

}
