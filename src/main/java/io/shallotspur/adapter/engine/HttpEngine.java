package io.shallotspur.adapter.engine;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.SynchronousSink;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

import io.shallotspur.adapter.http.CallIds;
import io.shallotspur.adapter.http.LimitedBody;
import io.shallotspur.adapter.http.WholeResponses;
import io.shallotspur.adapter.http.WorkerFailures;
import io.shallotspur.exc.EngineException;
import io.shallotspur.exc.EngineLostException;
import io.shallotspur.exc.EngineRefusedException;
import io.shallotspur.fleet.Worker;
import io.shallotspur.port.Engine;
import io.shallotspur.port.EngineOrder;
import io.shallotspur.port.EngineReport;
import io.shallotspur.port.PrefillResult;
import io.shallotspur.port.TokenChunk;

/**
 * Model engines over HTTP. Thread-safe. Nothing is sent twice by the client itself; who
 * may repeat what is decided above. Answers are tied to their calls ({@link CallIds}).
 */
public final class HttpEngine implements Engine {

	private static final int MAX_CONNECTIONS = 4096;

	private static final int CONNECT_TIMEOUT_MS = 1000;

	private static final Duration ACQUIRE_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);

	private static final int OK = 200;

	private static final int FIRST_ERROR = 300;

	private static final int SERVER_ERROR = 500;

	private static final int NOT_TAKEN = 503;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final ConnectionProvider connections;

	private final HttpClient client;

	/**
	 * Creates an adapter on the event loops that all of the process share.
	 */
	public HttpEngine() {
		this(null);
	}

	/**
	 * Creates an adapter.
	 * @param loops the event loops, or {@code null} for those that all of the process
	 * share
	 */
	public HttpEngine(@Nullable LoopResources loops) {
		this.connections = ConnectionProvider.builder("engine")
			.maxConnections(MAX_CONNECTIONS)
			.pendingAcquireTimeout(ACQUIRE_TIMEOUT)
			.maxIdleTime(Duration.ofSeconds(2))
			.build();
		HttpClient c = CallIds.tie(WholeResponses.ensure(HttpClient.create(this.connections)))
			.disableRetry(true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
		this.client = (loops != null) ? c.runOn(loops) : c;
	}

	@Override
	public Mono<PrefillResult> prefill(Worker worker, String streamId, byte[] body, String resumedText) {
		ByteBuf head = Unpooled.copiedBuffer("{\"resumed\":\"", StandardCharsets.UTF_8);
		ByteBuf resumed = Unpooled.wrappedBuffer(JsonStringEncoder.getInstance().quoteAsUTF8(resumedText));
		ByteBuf mid = Unpooled.copiedBuffer("\",\"request\":", StandardCharsets.UTF_8);
		ByteBuf tail = Unpooled.copiedBuffer("}", StandardCharsets.UTF_8);
		ByteBuf all = Unpooled.wrappedBuffer(head, resumed, mid, Unpooled.wrappedBuffer(body), tail);
		return call(worker, HttpMethod.POST, "/prefill/" + streamId, all)
			.map((n) -> new PrefillResult(n.path("prompt_tokens").asInt(), n.path("computed_tokens").asInt()));
	}

	@Override
	public Mono<Void> transfer(Worker from, Worker to, String streamId) {
		ObjectNode n = MAPPER.createObjectNode().put("from", from.id()).put("address", from.address());
		return call(to, HttpMethod.POST, "/transfer/" + streamId, json(n)).then();
	}

	@Override
	public Flux<TokenChunk> decode(Worker worker, String streamId, long fromIndex) {
		return Flux.defer(() -> {
			TokenParser p = new TokenParser(worker.id());
			return events(worker, "/decode/" + streamId + "?from=" + fromIndex, p)
				.concatWith(Mono.defer(() -> p.isDone() ? Mono.empty() : Mono.error(cut(worker))));
		});
	}

	@Override
	public Mono<Void> cancel(Worker worker, String streamId) {
		return call(worker, HttpMethod.DELETE, "/streams/" + streamId, Unpooled.EMPTY_BUFFER).timeout(CONTROL_TIMEOUT)
			.then()
			.onErrorMap((ex) -> WorkerFailures.of(worker.id(), ex));
	}

	@Override
	public Mono<List<String>> streams(Worker worker) {
		return call(worker, HttpMethod.GET, "/streams", Unpooled.EMPTY_BUFFER).timeout(CONTROL_TIMEOUT)
			.map((n) -> List.of(MAPPER.convertValue(n.path("streams"), String[].class)))
			.onErrorMap((ex) -> WorkerFailures.of(worker.id(), ex));
	}

	@Override
	public Flux<EngineReport> reports(Worker worker) {
		return events(worker, "/reports", (b, from, to) -> report(worker, b, from, to)).timeout(REPORT_TIMEOUT)
			.onErrorMap((ex) -> WorkerFailures.of(worker.id(), ex));
	}

	@Override
	public Mono<Void> order(Worker worker, EngineOrder order) {
		ObjectNode n = MAPPER.valueToTree(order);
		n.put("kind", order.getClass().getSimpleName());
		return call(worker, HttpMethod.POST, "/order", json(n)).then();
	}

	/**
	 * Closes the connections.
	 */
	public void close() {
		this.connections.dispose();
	}

	private Mono<JsonNode> call(Worker w, HttpMethod method, String path, ByteBuf body) {
		HttpClient.RequestSender r = this.client.request(method).uri(uri(w, path));
		HttpClient.ResponseReceiver<?> sent = body.isReadable() ? r.send(Mono.just(body)) : r;
		return sent.response((res, b) -> LimitedBody.readControl(b).flatMap((x) -> read(w, res, x)))
			.singleOrEmpty()
			.onErrorMap((ex) -> WorkerFailures.of(w.id(), ex));
	}

	private <T> Flux<T> events(Worker w, String path, SseDecoder.Parser<T> parser) {
		return this.client.get().uri(uri(w, path)).response((res, in) -> {
			if (res.status().code() >= FIRST_ERROR) {
				return LimitedBody.readControl(in).then(Mono.<T>error(failure(w, res.status().code())));
			}
			SseDecoder<T> d = new SseDecoder<>(w.id(), parser);
			return in.handle((ByteBuf b, SynchronousSink<List<T>> sink) -> feed(d, b, sink))
				.concatMapIterable((l) -> l);
		}).onErrorMap((ex) -> WorkerFailures.of(w.id(), ex));
	}

	private static <T> void feed(SseDecoder<T> d, ByteBuf b, SynchronousSink<List<T>> sink) {
		try {
			sink.next(d.feed(b));
		}
		catch (EngineException ex) {
			sink.error(ex);
		}
	}

	private static Mono<JsonNode> read(Worker w, HttpClientResponse res, byte[] body) {
		int status = res.status().code();
		if (status >= FIRST_ERROR) {
			return Mono.error(failure(w, status));
		}
		if (body.length == 0 && status == OK && WholeResponses.endsWithConnection(status, res.responseHeaders())) {
			return Mono.error(new EngineLostException("The answer ended before its body.", w.id()));
		}
		try {
			return Mono.just((body.length > 0) ? MAPPER.readTree(body) : MAPPER.createObjectNode());
		}
		catch (IOException ex) {
			return Mono.error(new EngineLostException("The answer of the worker cannot be read.", w.id(), ex));
		}
	}

	private static EngineException failure(Worker w, int status) {
		if (status < SERVER_ERROR || status == NOT_TAKEN) {
			return new EngineRefusedException("The worker refused with status " + status + ".", w.id());
		}
		return new EngineLostException("The worker failed with status " + status + ".", w.id());
	}

	private static EngineException cut(Worker w) {
		return new EngineLostException("The stream ended before the answer did.", w.id());
	}

	private static @Nullable EngineReport report(Worker w, byte[] b, int from, int to) throws EngineException {
		try {
			JsonNode n = MAPPER.readTree(b, from, to - from);
			if (n.has("block")) {
				return new EngineReport.Cache(n.path("sequence").asLong(), n.path("block").asLong(),
						n.path("stored").asBoolean());
			}
			return new EngineReport.Load(n.path("active").asInt(), n.path("slots").asInt(),
					n.path("step_ms").asDouble(), n.path("measured_at").asLong());
		}
		catch (IOException ex) {
			throw new EngineLostException("The report cannot be read.", w.id(), ex);
		}
	}

	private static ByteBuf json(ObjectNode n) {
		try {
			return Unpooled.wrappedBuffer(MAPPER.writeValueAsBytes(n));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static String uri(Worker w, String path) {
		return "http://" + w.address() + "/workers/" + w.id() + path;
	}

}
