package io.shallotspur.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

import io.shallotspur.gateway.ResponseHead;
import io.shallotspur.gateway.ResponseAuthenticity;
import io.shallotspur.gateway.Exchange;
import io.shallotspur.gateway.ExchangeFailure;
import io.shallotspur.gateway.ExchangeListener;
import io.shallotspur.gateway.ReservationListener;
import io.shallotspur.gateway.KvSource;
import io.shallotspur.gateway.PrefillListener;
import io.shallotspur.gateway.RelayRequest;
import io.shallotspur.gateway.WorkerCall;
import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.gateway.WorkerStatus;
import io.shallotspur.gateway.WorkerPort;
import io.shallotspur.gateway.WorkerStage;

/**
 * Workers over the platform's HTTP. Confined to the event loop.
 * <p>
 * Invariant: a failure is told as not sent only if no byte of the request was handed to a
 * connection; the HTTP client never repeats a request by itself.
 */
final class HttpWorkerPort implements WorkerPort {

	private static final int OK = 200;

	// Workers are a millisecond away and take a new connection within another; one that
	// takes this long is cut off or dark, ms.
	private static final int CONNECT_TIMEOUT_MS = 300;

	// Reservations and what is given back are answered in a few ms; a worker that does
	// not answer in many times that is cut off, ms.
	private static final long SIDE_CALL_MS = 300;

	// Two VMs may serve all callers, and a worker run hundreds of requests at a time; the
	// limit only keeps a dark worker from taking all descriptors, of which a process has
	// some thousands.
	private static final int CONNECTIONS_PER_WORKER = 512;

	// An idle connection is given up this long before the worker would close it, ms.
	// Otherwise a request can meet the worker's close on the way, and nobody could tell
	// whether it ran.
	private static final long IDLE_MARGIN_MS = 1_500;

	private static final long MOST_IDLE_MS = 10_000;

	private static final long LEAST_IDLE_MS = 300;

	// A worker may answer before it has read a long body and take what follows on the
	// connection for the rest of it. A longer body than this does not surely fit the
	// socket buffers at once and gets a connection of its own, bytes.
	private static final int SHARED_BODY_BYTES = 16 << 10;

	private final HttpClient client;

	private final WorkerClient side;

	private final Loop loop;

	private final Map<InetSocketAddress, Long> idleMs = new HashMap<>();

	HttpWorkerPort(Loop loop) {
		this.loop = loop;
		ConnectionProvider pool = ConnectionProvider.builder("workers")
			.maxConnections(CONNECTIONS_PER_WORKER)
			.pendingAcquireTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS))
			.lifo()
			.maxIdleTime(Duration.ofMillis(MOST_IDLE_MS))
			.evictInBackground(Duration.ofMillis(LEAST_IDLE_MS))
			.evictionPredicate((c, m) -> m.idleTime() > mostIdle(c.channel().remoteAddress()))
			.build();
		this.client = HttpClient.create(pool)
			.runOn(loop.resources(), false)
			.disableRetry(true)
			.followRedirect(false)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true)
			.headers((h) -> h.remove(HttpHeaderNames.USER_AGENT));
		this.side = new WorkerClient(this.client);
	}

	/**
	 * Returns the client for calls that are not callers' requests.
	 * @return the client
	 */
	WorkerClient side() {
		return this.side;
	}

	private long mostIdle(SocketAddress a) {
		return this.idleMs.getOrDefault(a, MOST_IDLE_MS);
	}

	@Override
	public Exchange run(WorkerCall call, ExchangeListener listener) {
		Sent sent = new Sent();
		Disposable d = send(call, "", sent).response((r, content) -> {
			InetSocketAddress a = new InetSocketAddress(call.worker().host(), call.worker().port());
			KeepAlive.idleMs(r.responseHeaders())
				.ifPresent((ms) -> this.idleMs.put(a, Math.max(LEAST_IDLE_MS, ms - IDLE_MARGIN_MS)));
			listener.onHead(head(call.request(), r));
			return content.asByteArray();
		}).subscribe(listener::onBytes, (ex) -> listener.onFailure(failure(sent, ex)), listener::onEnd);
		return d::dispose;
	}

	private static ResponseHead head(RelayRequest request, HttpClientResponse r) {
		return AnswerDecoder.head(request.id(), r.status().code(), r.responseHeaders());
	}

	private static ExchangeFailure failure(Sent sent, Throwable ex) {
		return new ExchangeFailure(sent.yes, ex.toString());
	}

	@Override
	public Exchange prefill(WorkerCall call, PrefillListener listener) {
		Sent sent = new Sent();
		Disposable d = send(call, EntryDecoder.encode(WorkerStage.PREFILL), sent)
			.responseSingle((r, content) -> content.asByteArray()
				.defaultIfEmpty(new byte[0])
				.map((b) -> prefilled(call.request(), r, b)))
			.subscribe((p) -> tell(p, listener), (ex) -> listener.onFailure(failure(sent, ex)));
		return d::dispose;
	}

	private static Prefilled prefilled(RelayRequest request, HttpClientResponse r, byte[] body) {
		ResponseHead head = head(request, r);
		String handle = handle(head, body);
		// Answers to prefills are not signed; one with a handle is the worker's.
		boolean whole = !handle.isEmpty() && head.authenticity() != ResponseAuthenticity.MISMATCHED;
		return new Prefilled(head, handle, whole ? AnswerDecoder.news(r.responseHeaders(), true) : head.workerStatus());
	}

	private static String handle(ResponseHead head, byte[] body) {
		try {
			JsonNode n = EntryDecoder.JSON.readTree(body);
			return (head.status() == OK) ? n.path("kv_handle").asText() : "";
		}
		catch (IOException ex) {
			// Not an answer in the protocol: the same as none.
			Logger.info("[platform] prefill answer left aside status={} seen=\"{}\"", head.status(), ex.toString());
			return "";
		}
	}

	private static void tell(Prefilled p, PrefillListener listener) {
		listener.onStatus(p.news());
		String status = "status " + p.head().status();
		if (!p.handle().isEmpty() && p.head().authenticity() != ResponseAuthenticity.MISMATCHED) {
			listener.onReady(p.handle());
		}
		else if (p.head().notRun()) {
			listener.onRefused(status, p.head().otherIncarnation());
		}
		else {
			listener.onFailure(new ExchangeFailure(true, status));
		}
	}

	@Override
	public void releaseKvCache(KvSource source) {
		delete(source.worker(), Names.KV_HANDLE_PATH + source.handle());
	}

	@Override
	public void cancelReservation(WorkerInfo worker, String hold) {
		delete(worker, Names.DROP_PATH + hold);
	}

	private void delete(WorkerInfo worker, String path) {
		this.side.call(HttpMethod.DELETE, worker, path)
			.response()
			.timeout(Duration.ofMillis(SIDE_CALL_MS), this.loop.scheduler())
			.subscribe((r) -> {
			}, (ex) -> Logger.info("[platform] not freed worker={} path={} seen=\"{}\"", worker.id(), path,
					ex.toString()));
	}

	@Override
	public void reserve(WorkerInfo worker, int tokens, long ttlMs, ReservationListener listener) {
		ObjectNode body = EntryDecoder.JSON.createObjectNode().put("tokens", tokens).put("ttl_ms", ttlMs);
		this.side.post(worker, Names.HOLD_PATH, body)
			.responseSingle(
					(r, content) -> content.asByteArray().defaultIfEmpty(new byte[0]).map((b) -> holdAnswer(r, b)))
			.timeout(Duration.ofMillis(SIDE_CALL_MS), this.loop.scheduler())
			.subscribe((h) -> tell(h, listener), (ex) -> listener.onFailure(new ExchangeFailure(true, ex.toString())));
	}

	private static HoldAnswer holdAnswer(HttpClientResponse r, byte[] body) {
		int status = r.status().code();
		boolean other = status == AnswerDecoder.MISDIRECTED;
		WorkerStatus news = other ? WorkerStatus.NONE : AnswerDecoder.news(r.responseHeaders(), false);
		return new HoldAnswer(status, held(status, body), news);
	}

	private static Optional<String> held(int status, byte[] body) {
		try {
			String h = (status == OK) ? EntryDecoder.JSON.readTree(body).path("hold").asText() : "";
			return h.isEmpty() ? Optional.empty() : Optional.of(h);
		}
		catch (IOException ex) {
			Logger.info("[platform] reservation answer left aside status={} seen=\"{}\"", status, ex.toString());
			return Optional.empty();
		}
	}

	private static void tell(HoldAnswer a, ReservationListener listener) {
		listener.onStatus(a.news());
		if (a.hold().isPresent()) {
			listener.onReserved(a.hold().get());
		}
		else if (a.status() == AnswerDecoder.MISDIRECTED) {
			listener.onInstanceReplaced();
		}
		else {
			listener.onNoCapacity();
		}
	}

	private HttpClient.ResponseReceiver<?> send(WorkerCall call, String stage, Sent sent) {
		RelayRequest q = call.request();
		ByteBuf body = Unpooled.wrappedBuffer(q.body());
		return this.client.headers((h) -> headers(h, call, stage))
			.doOnRequest((r, c) -> sent.yes = true)
			.request(HttpMethod.valueOf(q.method()))
			.uri("http://" + call.worker().address() + q.target())
			.send((r, out) -> out.send(Flux.just(body)));
	}

	private static void headers(HttpHeaders h, WorkerCall call, String stage) {
		RelayRequest q = call.request();
		q.headers().forEach((f) -> h.add(f.name(), f.value()));
		h.set(Names.REQUEST_ID, q.id());
		h.set(Names.TIME_LEFT, call.timeoutMs());
		h.set(Names.EXPECTED_WORKER, call.worker().id());
		if (q.body().length > 0 || !q.method().equals("GET")) {
			h.set(HttpHeaderNames.CONTENT_LENGTH, q.body().length);
		}
		if (q.body().length > SHARED_BODY_BYTES) {
			h.set(HttpHeaderNames.CONNECTION, "close");
		}
		if (call.customer() != null) {
			h.set(Names.CUSTOMER, call.customer());
		}
		if (q.prompt() != null) {
			h.set(Names.PRIORITY, call.priority());
		}
		if (call.lastEventId() != null) {
			h.set(Names.LAST_EVENT, call.lastEventId());
		}
		if (!stage.isEmpty()) {
			h.set(Names.STAGE, stage);
		}
		if (call.reservation() != null) {
			h.set(Names.HOLD, call.reservation());
		}
		if (call.kvSource() != null) {
			h.set(Names.KV_SOURCE, call.kvSource().worker().address() + "/" + call.kvSource().handle());
		}
	}

	/**
	 * Whether a request was handed to a connection; set on the event loop.
	 */
	private static final class Sent {

		private boolean yes;

	}

	/**
	 * A worker's answer to a call for a reservation.
	 */
	private record HoldAnswer(int status, Optional<String> hold, WorkerStatus news) {

	}

	/**
	 * A worker's answer to a prefill.
	 */
	private record Prefilled(ResponseHead head, String handle, WorkerStatus news) {

	}

}
