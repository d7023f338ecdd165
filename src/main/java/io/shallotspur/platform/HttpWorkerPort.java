package io.shallotspur.platform;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.AttributeKey;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableChannel;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.tcp.TcpClient;

import io.shallotspur.adapter.http.JoinedHeads;
import io.shallotspur.adapter.http.LimitedBody;
import io.shallotspur.adapter.http.SilentConnections;
import io.shallotspur.adapter.http.UnrequestedBytes;
import io.shallotspur.adapter.http.WholeResponses;
import io.shallotspur.adapter.tunnel.TunnelClient;
import io.shallotspur.adapter.tunnel.TunnelRequest;
import io.shallotspur.adapter.tunnel.TunnelStatus;
import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.Exchange;
import io.shallotspur.gateway.ExchangeFailure;
import io.shallotspur.gateway.ExchangeListener;
import io.shallotspur.gateway.KvSource;
import io.shallotspur.gateway.ListenState;
import io.shallotspur.gateway.PrefillListener;
import io.shallotspur.gateway.RelayRequest;
import io.shallotspur.gateway.ReservationListener;
import io.shallotspur.gateway.ResponseAuthenticity;
import io.shallotspur.gateway.ResponseHead;
import io.shallotspur.gateway.WorkerCall;
import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.gateway.WorkerPort;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.gateway.WorkerStatus;

/**
 * Calls workers over the platform's HTTP protocol. Confined to the event loop.
 * <p>
 * Invariant: a failure is reported as not sent only if no byte of the request was passed
 * to a connection. The HTTP client never retries a request by itself.
 */
final class HttpWorkerPort implements WorkerPort {

	private static final int OK = 200;

	private static final int NO_CAPACITY = 503;

	private static final AttributeKey<String> LAST_RESERVATION = AttributeKey.valueOf("shallotspur-last-reservation");

	// In ms. The round trip to a worker takes about 1 ms and accepting a connection
	// another; a worker that needs this long is partitioned or down.
	private static final int CONNECT_TIMEOUT_MS = 300;

	// In ms. Workers respond to reservations and releases within a few ms; one that takes
	// many times longer is partitioned.
	private static final long CONTROL_CALL_TIMEOUT_MS = 300;

	// Two VMs may have to serve all callers, and a worker can run hundreds of requests at
	// once. The limit only prevents an unresponsive worker from using up the file
	// descriptors, of which a process has a few thousand.
	private static final int MAX_CONNECTIONS_PER_WORKER = 512;

	// As many reservation calls as a queue makes at a time, and no more: these
	// connections are additional to those that count for this VM's share of a worker's
	// limit. Further calls wait, mostly releases; a call takes about 2 ms.
	private static final int MAX_RESERVATION_CONNECTIONS_PER_WORKER = 4;

	private static final int UNLIMITED = -1;

	// In bytes. A worker may respond before it has read a long body, and then parse the
	// next request on the connection as the rest of that body. A larger body may not fit
	// into the socket buffers at once and is sent on a connection of its own.
	private static final int MAX_POOLED_BODY_BYTES = 16 << 10;

	private final WorkerClient workerClient;

	private final TcpClient connectionChecks;

	private final Map<ConnectionGroup, ConnectionProvider> pools = new EnumMap<>(ConnectionGroup.class);

	private final VmEventLoop loop;

	/**
	 * Creates a port without connections.
	 * @param loop the event loop
	 * @param unknownFields counts the response fields that are not decoded
	 */
	HttpWorkerPort(VmEventLoop loop, UnknownResponseFields unknownFields) {
		this.loop = loop;
		for (ConnectionGroup g : ConnectionGroup.values()) {
			this.pools.put(g, connections(g));
		}
		this.workerClient = new WorkerClient((g) -> direct(g, unknownFields),
				client(ConnectionProvider.newConnection()), unknownFields);
		this.connectionChecks = SilentConnections.detect(TcpClient.newConnection())
			.runOn(loop.resources(), false)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
	}

	private HttpClient direct(ConnectionGroup g, UnknownResponseFields unknownFields) {
		HttpClient client = client(Objects.requireNonNull(this.pools.get(g)));
		return UnrequestedBytes.closeOn(client, unknownFields::observeUnrequestedBytes);
	}

	private static ConnectionProvider connections(ConnectionGroup g) {
		return switch (g) {
			case RUNS, PREFILLS -> pool(g, MAX_CONNECTIONS_PER_WORKER).build();
			case RESERVATIONS ->
				pool(g, MAX_RESERVATION_CONNECTIONS_PER_WORKER).pendingAcquireMaxCount(UNLIMITED).build();
			case ONE_CALL_EACH -> ConnectionProvider.newConnection();
		};
	}

	private static ConnectionProvider.Builder pool(ConnectionGroup g, int maxConnections) {
		return ConnectionProvider.builder("workers-" + g.name().toLowerCase(Locale.ROOT))
			.maxConnections(maxConnections)
			.pendingAcquireTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS))
			.lifo()
			.maxIdleTime(Duration.ofMillis(ConnectionIdleLimit.MAX_MS))
			.evictInBackground(Duration.ofMillis(ConnectionIdleLimit.MIN_MS))
			.evictionPredicate((c, m) -> m.idleTime() > ConnectionIdleLimit.ms(c.channel()));
	}

	private HttpClient client(ConnectionProvider connections) {
		HttpClient checked = JoinedHeads.reject(WholeResponses.ensure(HttpClient.create(connections)));
		return SilentConnections.detect(checked)
			.runOn(this.loop.resources(), false)
			.disableRetry(true)
			.followRedirect(false)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true)
			.headers((h) -> h.remove(HttpHeaderNames.USER_AGENT));
	}

	/**
	 * Returns the client that all calls to workers use.
	 * @return the client
	 */
	WorkerClient workerClient() {
		return this.workerClient;
	}

	@Override
	public Exchange run(WorkerCall call, ExchangeListener listener) {
		SendState state = new SendState();
		ResponseFlow flow = new ResponseFlow(this.loop);
		Disposable d = send(call, "", ConnectionGroup.RUNS, state).response((r, content) -> {
			flow.connected(state.connection);
			listener.onHead(head(call.request(), r));
			return content.asByteArray().doOnTerminate(flow::end);
		}).subscribe(listener::onBytes, (ex) -> listener.onFailure(failure(state, ex)), listener::onEnd);
		return new Exchange() {

			@Override
			public void cancel() {
				flow.end();
				d.dispose();
			}

			@Override
			public void setPaused(boolean paused) {
				flow.setPaused(paused);
			}

		};
	}

	private static ResponseHead head(RelayRequest request, HttpClientResponse r) {
		return ResponseHeadDecoder.head(request.id(), r.status().code(), r.responseHeaders());
	}

	private static ExchangeFailure failure(SendState state, Throwable ex) {
		return new ExchangeFailure(state.sent, ex.toString());
	}

	@Override
	public Exchange prefill(WorkerCall call, PrefillListener listener) {
		SendState state = new SendState();
		Disposable d = send(call, StoreEntryCodec.encode(WorkerStage.PREFILL), ConnectionGroup.PREFILLS, state)
			.response(
					(r, content) -> LimitedBody.readControl(content).map((b) -> prefillResponse(call.request(), r, b)))
			.single()
			.subscribe((p) -> notifyListener(p, listener), (ex) -> listener.onFailure(failure(state, ex)));
		return d::dispose;
	}

	private static PrefillResponse prefillResponse(RelayRequest request, HttpClientResponse r, byte[] body) {
		ResponseHead head = head(request, r);
		String handle = kvHandle(head, body);
		// Prefill responses are not signed; one with a KV handle is taken as the worker's
		// own.
		boolean complete = !handle.isEmpty() && head.authenticity() != ResponseAuthenticity.MISMATCHED;
		return new PrefillResponse(head, handle,
				complete ? ResponseHeadDecoder.workerStatus(r.responseHeaders(), true) : head.workerStatus());
	}

	private static String kvHandle(ResponseHead head, byte[] body) {
		try {
			JsonNode n = StoreEntryCodec.JSON.readTree(body);
			return (head.status() == OK) ? n.path("kv_handle").asText() : "";
		}
		catch (IOException ex) {
			// A response that is not JSON is treated like one without a handle.
			Logger.info("[platform] invalid prefill response ignored status={} seen=\"{}\"", head.status(),
					ex.toString());
			return "";
		}
	}

	private static void notifyListener(PrefillResponse p, PrefillListener listener) {
		listener.onStatus(p.workerStatus());
		String status = "status " + p.head().status();
		if (!p.handle().isEmpty() && p.head().authenticity() != ResponseAuthenticity.MISMATCHED) {
			listener.onReady(p.handle());
		}
		else if (p.head().notRun()) {
			listener.onRefused(status, p.head().instanceReplaced());
		}
		else {
			listener.onFailure(new ExchangeFailure(true, status));
		}
	}

	@Override
	public void releaseKvCache(KvSource source) {
		delete(source.worker(), PlatformNames.KV_HANDLE_PATH + source.handle());
	}

	@Override
	public void cancelReservation(WorkerInfo worker, String reservation) {
		delete(worker, PlatformNames.RELEASE_PATH + reservation);
	}

	private void delete(WorkerInfo worker, String path) {
		this.workerClient.call(HttpMethod.DELETE, worker, path, ConnectionGroup.RESERVATIONS)
			.response((r, content) -> LimitedBody.readControl(content))
			.single()
			.timeout(Duration.ofMillis(CONTROL_CALL_TIMEOUT_MS), this.loop.scheduler())
			.subscribe((b) -> {
			}, (ex) -> Logger.info("[platform] release failed worker={} path={} seen=\"{}\"", worker.id(), path,
					ex.toString()));
	}

	@Override
	public void reserve(WorkerInfo worker, int tokens, long ttlMs, ReservationListener listener) {
		ObjectNode body = StoreEntryCodec.JSON.createObjectNode().put("tokens", tokens).put("ttl_ms", ttlMs);
		SendState state = new SendState();
		HttpClient client = this.workerClient.expecting(worker, ConnectionGroup.RESERVATIONS).doOnRequest((r, c) -> {
			state.sent = true;
			state.connection = c.channel();
		});
		WorkerClient.post(client, worker, PlatformNames.RESERVE_PATH, body)
			.response((r, content) -> LimitedBody.readControl(content).flatMap((b) -> reservationResponse(state, r, b)))
			.single()
			.timeout(Duration.ofMillis(CONTROL_CALL_TIMEOUT_MS), this.loop.scheduler())
			.subscribe((h) -> notifyListener(h, listener), (ex) -> listener.onFailure(failure(state, ex)));
	}

	// Only a refusal and a reservation are followed by other calls on their connection. A
	// copy of the first only says that there is no place; one of the second names it.
	private static Mono<ReservationResponse> reservationResponse(SendState state, HttpClientResponse r, byte[] body) {
		int status = r.status().code();
		Optional<String> reservation = reservationId(status, body);
		Channel connection = Objects.requireNonNull(state.connection);
		boolean copy = reservation.isPresent()
				&& reservation.get().equals(connection.attr(LAST_RESERVATION).getAndSet(reservation.get()));
		if (copy || (reservation.isEmpty() && status != NO_CAPACITY)) {
			connection.close();
		}
		if (copy) {
			return Mono.error(new IOException("The reservation was given to an earlier call."));
		}
		boolean otherIncarnation = status == ResponseHeadDecoder.MISDIRECTED;
		WorkerStatus workerStatus = otherIncarnation ? WorkerStatus.NONE
				: ResponseHeadDecoder.workerStatus(r.responseHeaders(), false);
		return Mono.just(new ReservationResponse(status, reservation, workerStatus));
	}

	private static Optional<String> reservationId(int status, byte[] body) {
		try {
			String h = (status == OK) ? StoreEntryCodec.JSON.readTree(body).path("hold").asText() : "";
			return h.isEmpty() ? Optional.empty() : Optional.of(h);
		}
		catch (IOException ex) {
			Logger.info("[platform] invalid reservation response ignored status={} seen=\"{}\"", status, ex.toString());
			return Optional.empty();
		}
	}

	private static void notifyListener(ReservationResponse a, ReservationListener listener) {
		listener.onStatus(a.workerStatus());
		if (a.reservation().isPresent()) {
			listener.onReserved(a.reservation().get());
		}
		else if (a.status() == ResponseHeadDecoder.MISDIRECTED) {
			listener.onInstanceReplaced();
		}
		else if (a.status() == OK) {
			listener.onFailure(new ExchangeFailure(true, "no reservation in the response"));
		}
		else {
			listener.onNoCapacity();
		}
	}

	@Override
	public void checkListening(WorkerInfo worker, Consumer<ListenState> callback) {
		this.connectionChecks.host(worker.host())
			.port(worker.port())
			.connect()
			.doOnNext(DisposableChannel::dispose)
			.subscribe((c) -> callback.accept(ListenState.ACCEPTS), (ex) -> callback.accept(listenState(ex)));
	}

	// A timeout is a ConnectException, too, but means that nothing has responded.
	private static ListenState listenState(Throwable ex) {
		boolean refused = ex instanceof ConnectException && !(ex instanceof ConnectTimeoutException);
		return refused ? ListenState.REFUSES : ListenState.NO_RESPONSE;
	}

	@Override
	public void checkThrough(EntryVm vm, WorkerInfo worker, Consumer<ListenState> callback) {
		TunnelRequest request = new TunnelRequest(vm.key(), worker.id());
		TunnelClient.check(this.connectionChecks, WorkerClient.tunnelAddress(vm), request)
			.map(HttpWorkerPort::listenState)
			.subscribe(callback, (ex) -> {
				Logger.info("[path] VM does not respond vm={} seen=\"{}\"", vm.key(), ex.toString());
				callback.accept(ListenState.NO_RESPONSE);
			});
	}

	private static ListenState listenState(TunnelStatus s) {
		return switch (s) {
			case CONNECTED -> ListenState.ACCEPTS;
			case REFUSED -> ListenState.REFUSES;
			case NO_RESPONSE, UNAVAILABLE -> ListenState.NO_RESPONSE;
		};
	}

	@Override
	public void dropConnections(WorkerInfo worker) {
		InetSocketAddress address = InetSocketAddress.createUnresolved(worker.host(), worker.port());
		this.pools.values().forEach((p) -> p.disposeWhen(address));
	}

	private HttpClient.ResponseReceiver<?> send(WorkerCall call, String stage, ConnectionGroup group, SendState state) {
		RelayRequest q = call.request();
		return this.workerClient.expecting(call.worker(), group)
			.headers((h) -> headers(h, call, stage))
			.doOnRequest((r, c) -> {
				state.sent = true;
				state.connection = c.channel();
			})
			.request(HttpMethod.valueOf(q.method()))
			.uri("http://" + call.worker().address() + q.target())
			.send((r, out) -> out.send(parts(q.body())));
	}

	// A connection copies each buffer that is written to it as a whole. In parts, little
	// more of a body is copied than the worker reads.
	private static Flux<ByteBuf> parts(byte[] body) {
		if (body.length <= MAX_POOLED_BODY_BYTES) {
			return Flux.just(Unpooled.wrappedBuffer(body));
		}
		int n = (body.length + MAX_POOLED_BODY_BYTES - 1) / MAX_POOLED_BODY_BYTES;
		return Flux.range(0, n).map((i) -> {
			int from = i * MAX_POOLED_BODY_BYTES;
			return Unpooled.wrappedBuffer(body, from, Math.min(MAX_POOLED_BODY_BYTES, body.length - from));
		});
	}

	private static void headers(HttpHeaders h, WorkerCall call, String stage) {
		RelayRequest q = call.request();
		q.headers().forEach((f) -> h.add(f.name(), f.value()));
		h.set(PlatformNames.REQUEST_ID, q.id());
		h.set(PlatformNames.REMAINING_MS, call.timeoutMs());
		if (q.body().length > 0 || !q.method().equals("GET")) {
			h.set(HttpHeaderNames.CONTENT_LENGTH, q.body().length);
		}
		if (q.body().length > MAX_POOLED_BODY_BYTES) {
			h.set(HttpHeaderNames.CONNECTION, "close");
		}
		if (call.customer() != null) {
			h.set(PlatformNames.CUSTOMER, call.customer());
		}
		if (q.prompt() != null) {
			h.set(PlatformNames.PRIORITY, call.priority());
		}
		if (call.lastEventId() != null) {
			h.set(PlatformNames.LAST_EVENT_ID, call.lastEventId());
		}
		if (!stage.isEmpty()) {
			h.set(PlatformNames.STAGE, stage);
		}
		if (call.reservation() != null) {
			h.set(PlatformNames.RESERVATION, call.reservation());
		}
		if (call.kvSource() != null) {
			h.set(PlatformNames.KV_SOURCE, call.kvSource().worker().address() + "/" + call.kvSource().handle());
		}
	}

	/**
	 * Whether a request was passed to a connection. Confined to the event loop.
	 */
	private static final class SendState {

		private boolean sent;

		private @Nullable Channel connection;

	}

	/**
	 * A worker's response to a reservation call.
	 */
	private record ReservationResponse(int status, Optional<String> reservation, WorkerStatus workerStatus) {

	}

	/**
	 * A worker's response to a prefill request.
	 */
	private record PrefillResponse(ResponseHead head, String handle, WorkerStatus workerStatus) {

	}

}
