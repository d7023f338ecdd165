package io.shallotspur.adapter.plain;

import java.time.Duration;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpScheme;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableChannel;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.tcp.TcpClient;

import io.shallotspur.adapter.http.CallIds;
import io.shallotspur.adapter.http.LimitedBody;
import io.shallotspur.adapter.http.WholeResponses;
import io.shallotspur.adapter.http.WorkerFailures;
import io.shallotspur.cfg.Endpoint;
import io.shallotspur.exc.EngineLostException;
import io.shallotspur.exc.EngineRefusedException;
import io.shallotspur.fleet.Worker;
import io.shallotspur.port.PlainCall;
import io.shallotspur.port.PlainReply;
import io.shallotspur.port.PlainService;

/**
 * Plain services over HTTP. Thread-safe. A service that surely did not run a call answers
 * 503 with the header {@value #OUTCOME}{@code : not_run}; any other answer is passed on
 * as it is, if it is tied to its call ({@link CallIds}). An answer that has neither a
 * length nor chunks ends with its connection, and is whole only if its service still
 * accepts connections. The client itself sends nothing twice.
 */
public final class HttpPlainService implements PlainService {

	/**
	 * Tells in an answer of status 503 that the call was not run.
	 */
	public static final String OUTCOME = "Shallotspur-Outcome";

	private static final int MAX_CONNECTIONS = 1024;

	private static final int CONNECT_TIMEOUT_MS = 1000;

	private static final int NOT_TAKEN = 503;

	// All sockets of a process that ends are closed by then, also the one on which it
	// listens.
	private static final Duration CLOSE_TIME = Duration.ofMillis(10);

	private final ConnectionProvider connections;

	private final TcpClient connectionChecks = TcpClient.newConnection()
		.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);

	private final HttpClient client;

	private final int maxAnswerBytes;

	/**
	 * Creates an adapter.
	 * @param responseTimeoutMs a service that is silent for so many milliseconds counts
	 * as lost
	 * @param maxAnswerBytes a service whose answer has a longer body counts as lost, in
	 * bytes
	 */
	public HttpPlainService(long responseTimeoutMs, int maxAnswerBytes) {
		this.maxAnswerBytes = maxAnswerBytes;
		this.connections = ConnectionProvider.builder("plain")
			.maxConnections(MAX_CONNECTIONS)
			.maxIdleTime(Duration.ofSeconds(2))
			.build();
		this.client = CallIds.tie(WholeResponses.ensure(HttpClient.create(this.connections)))
			.disableRetry(true)
			.responseTimeout(Duration.ofMillis(responseTimeoutMs))
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
	}

	@Override
	public Mono<PlainReply> call(Worker worker, PlainCall call) {
		return this.client.headers((h) -> headers(h, call))
			.request(HttpMethod.valueOf(call.method()))
			.uri("http://" + worker.address() + call.path())
			.send(Mono.just(Unpooled.wrappedBuffer(call.body())))
			.response((res, b) -> LimitedBody.read(b, this.maxAnswerBytes).flatMap((x) -> read(worker, res, x)))
			.singleOrEmpty()
			.onErrorMap((ex) -> WorkerFailures.of(worker.id(), ex));
	}

	/**
	 * Closes the connections.
	 */
	public void close() {
		this.connections.dispose();
	}

	private static void headers(HttpHeaders h, PlainCall call) {
		h.set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
		if (!call.contentType().isEmpty()) {
			h.set(HttpHeaderNames.CONTENT_TYPE, call.contentType());
		}
		if (!call.key().isEmpty()) {
			h.set("Idempotency-Key", call.key());
		}
	}

	private Mono<PlainReply> read(Worker w, HttpClientResponse res, byte[] body) {
		int status = res.status().code();
		if (status == NOT_TAKEN && "not_run".equals(res.responseHeaders().get(OUTCOME))) {
			return Mono.error(new EngineRefusedException("The service did not take the call.", w.id()));
		}
		String type = res.responseHeaders().get(HttpHeaderNames.CONTENT_TYPE);
		Mono<PlainReply> reply = Mono.just(new PlainReply(status, (type != null) ? type : "", body));
		boolean mayBeCut = WholeResponses.endsWithConnection(status, res.responseHeaders());
		return mayBeCut ? verifyGoesOn(w).then(reply) : reply;
	}

	private Mono<Void> verifyGoesOn(Worker w) {
		Endpoint e = Endpoint.parse(w.address()).orElse(new Endpoint(w.address(), HttpScheme.HTTP.port()));
		return Mono.delay(CLOSE_TIME)
			.then(this.connectionChecks.host(e.host()).port(e.port()).connect())
			.doOnNext(DisposableChannel::dispose)
			.then()
			.onErrorMap((ex) -> new EngineLostException("The service ended with its answer.", w.id(), ex));
	}

}
