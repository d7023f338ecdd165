package io.shallotspur.platform;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Map;
import java.util.function.LongSupplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.util.AttributeKey;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import io.shallotspur.cfg.Endpoint;
import io.shallotspur.exc.InputException;
import io.shallotspur.gateway.Gateway;
import io.shallotspur.gateway.RefusalReason;
import io.shallotspur.gateway.RelayRefusal;
import io.shallotspur.gateway.RelayRequest;
import io.shallotspur.route.IngressLimits;
import io.shallotspur.route.RouteTable;
import io.shallotspur.serving.CallerRelease;
import io.shallotspur.transit.ArrivalClock;
import io.shallotspur.transit.ByteBudget;

/**
 * HTTP server for the requests of callers. Confined to the event loop.
 */
final class CallerIngress {

	private static final int BAD_REQUEST = 400;

	private static final int CONTENT_TOO_LARGE = 413;

	// In bytes. The decoder's limit is fixed when a connection opens, which may be before
	// the configuration is known; the operator's limit is checked after decoding.
	private static final int MAX_DECODER_HEADER_BYTES = 64 << 10;

	private static final int HEADERS_TOO_LARGE = 431;

	// Four times the usual 15 s. Callers reuse a connection for most of the idle timeout
	// that the operator configures, which is not known when they connect. A shorter
	// timeout here could close the connection while the next request is in transit.
	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

	// A caller that takes longer to send its request gets a 408, so that slow senders do
	// not occupy connections. Five times what operators allow for the headers.
	private static final Duration REQUEST_READ_TIMEOUT = Duration.ofSeconds(15);

	// A loop that is behind accepts all connections that wait at once. The rest would
	// wait for further rounds, and how long their requests have waited would not be
	// known.
	private static final int MAX_ACCEPTS_PER_POLL = 1_024;

	private static final AttributeKey<Opened> OPENED = AttributeKey.valueOf("shallotspur-opened");

	// More than a link to a caller has in transit. The kernel would otherwise let the
	// buffer of a caller that does not read grow to megabytes.
	private static final int SEND_BUFFER_BYTES = 128 << 10;

	// Retry delay while too much is held, ms. By then some of the requests whose bodies
	// are held have probably ended.
	private static final long MEMORY_RETRY_MS = 500;

	private final Endpoint listen;

	private final VmEventLoop loop;

	private final Gateway gateway;

	private final LongSupplier clock;

	private final ByteBudget budget;

	private final CallerConnections connections;

	private final CallerRelease release;

	private final Sinks.Empty<Void> readingEnds = Sinks.empty();

	private boolean draining;

	private boolean reading = true;

	CallerIngress(Endpoint listen, VmEventLoop loop, Gateway gateway, LongSupplier clock, CallerRelease release,
			ByteBudget budget, CallerConnections connections) {
		this.listen = listen;
		this.loop = loop;
		this.gateway = gateway;
		this.clock = clock;
		this.release = release;
		this.budget = budget;
		this.connections = connections;
	}

	Mono<? extends DisposableServer> bind() {
		return HttpServer.create()
			.host(this.listen.host())
			.port(this.listen.port())
			.runOn(this.loop.resources(), false)
			.httpRequestDecoder(
					(d) -> d.maxHeaderSize(MAX_DECODER_HEADER_BYTES).maxInitialLineLength(MAX_DECODER_HEADER_BYTES))
			.idleTimeout(IDLE_TIMEOUT)
			.requestTimeout(REQUEST_READ_TIMEOUT)
			.option(ChannelOption.RECVBUF_ALLOCATOR,
					new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_POLL))
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
			.doOnChannelInit((observer, channel, address) -> onOpened(channel))
			.doOnConnection((c) -> this.connections.opened(c.channel()))
			.handle(this::handleCounted)
			.bind();
	}

	private void onOpened(Channel c) {
		PendingWrites.countOn(c);
		ArrivalClock arrivals = this.loop.arrivals();
		c.attr(OPENED).set(new Opened(arrivals.earliestArrival(), arrivals.polls()));
	}

	/**
	 * Sends {@code Connection: close} with every response from now on.
	 */
	void closeAfterResponses() {
		this.draining = true;
	}

	/**
	 * Refuses the requests that are not read whole, also those that come from now on, as
	 * this VM ends.
	 */
	void endReading() {
		this.reading = false;
		this.readingEnds.tryEmitEmpty();
	}

	private Mono<Void> handleCounted(HttpServerRequest req, HttpServerResponse res) {
		Runnable[] end = new Runnable[1];
		res.withConnection((c) -> end[0] = this.connections.requestRead(c.channel()));
		return handle(req, res).doFinally((s) -> end[0].run());
	}

	private Mono<Void> handle(HttpServerRequest req, HttpServerResponse res) {
		IngressLimits limits = this.gateway.routeTable().map(RouteTable::limits).orElse(IngressLimits.DEFAULT);
		HttpCallerResponse response = new HttpCallerResponse(res, () -> this.draining || this.release.closeAfterNext(),
				this.budget, this.clock);
		if (headerBytes(req) > limits.maxHeaderBytes()) {
			return refuse(response, res, HEADERS_TOO_LARGE);
		}
		String length = req.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH);
		if (length != null && length.matches("\\d{1,18}") && Long.parseLong(length) > limits.maxBodyBytes()) {
			return refuse(response, res, CONTENT_TOO_LARGE);
		}
		return readAndRelay(req, res, response, limits);
	}

	private Mono<Void> readAndRelay(HttpServerRequest req, HttpServerResponse res, HttpCallerResponse response,
			IngressLimits limits) {
		// The caller's time runs while its request waits to be read and while it sends
		// the body.
		long arrivedAt = arrivedAt(req);
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		ByteBudget.Holding holding = this.budget.openUncuttable();
		boolean[] full = { false };
		return req.receive().asByteArray().doOnNext((b) -> {
			full[0] |= !holding.add(b.length, this.clock.getAsLong());
			body.writeBytes(b);
		})
			.takeUntil((b) -> full[0] || body.size() > limits.maxBodyBytes())
			.takeUntilOther(this.readingEnds.asMono())
			.then(Mono.defer(() -> {
				if (!this.reading) {
					return refuseUnread(response, res, RelayRefusal.leaving());
				}
				if (full[0]) {
					Logger.info("[transit] request refused, as too much is held");
					return refuseUnread(response, res, RelayRefusal.notRun(RefusalReason.MEMORY_FULL, MEMORY_RETRY_MS));
				}
				return (body.size() > limits.maxBodyBytes()) ? refuse(response, res, CONTENT_TOO_LARGE)
						: relay(req, res, body.toByteArray(), response, arrivedAt);
			}))
			.doFinally((s) -> holding.close());
	}

	// The earliest time at which the request can have arrived, ms.
	private long arrivedAt(HttpServerRequest req) {
		long[] at = { this.clock.getAsLong() };
		req.withConnection((c) -> {
			Opened o = c.channel().attr(OPENED).getAndSet(null);
			ArrivalClock arrivals = this.loop.arrivals();
			at[0] = (o != null) ? arrivals.earliestArrivalOnNewConnection(o.at(), o.poll())
					: arrivals.earliestArrival();
		});
		return at[0];
	}

	private static int headerBytes(HttpServerRequest req) {
		int n = req.uri().length();
		for (Map.Entry<String, String> e : req.requestHeaders()) {
			n += e.getKey().length() + e.getValue().length() + ": \r\n".length();
		}
		return n;
	}

	private Mono<Void> relay(HttpServerRequest req, HttpServerResponse res, byte[] body, HttpCallerResponse response,
			long arrivedAt) {
		RelayRequest r;
		try {
			r = RequestDecoder.decode(req.method().name(), req.uri(), req.requestHeaders(), body);
		}
		catch (InputException ex) {
			Logger.info("[caller] malformed request seen=\"{}\"", ex.getMessage());
			return refuse(response, res, BAD_REQUEST);
		}
		// On a busy VM, the caller may have closed its connection before its request is
		// read. The close is read separately, after the request.
		res.withConnection((c) -> this.loop.executeAfterNextRead(() -> dispatch(c.channel(), r, response, arrivedAt)));
		return response.completion();
	}

	private void dispatch(Channel c, RelayRequest r, HttpCallerResponse response, long arrivedAt) {
		if (!c.isActive()) {
			this.gateway.callerLeftUnread(r);
			return;
		}
		Runnable onDisconnect = this.gateway.handle(r, response, arrivedAt);
		ChannelFutureListener closeListener = (f) -> onDisconnect.run();
		c.closeFuture().addListener(closeListener);
		response.onDone(() -> c.closeFuture().removeListener(closeListener));
	}

	// Closes the connection, as the rest of the body is not read.
	private static Mono<Void> refuseUnread(HttpCallerResponse response, HttpServerResponse res, RelayRefusal refusal) {
		res.header(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		response.refuse(refusal);
		return response.completion();
	}

	private Mono<Void> refuse(HttpCallerResponse response, HttpServerResponse res, int status) {
		res.header(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		response.refuse(new RelayRefusal(status, RefusalReason.BAD_REQUEST, 0));
		return response.completion();
	}

	/**
	 * When a connection can have been opened at the earliest, until its first request is
	 * read.
	 *
	 * @param at the time in milliseconds
	 * @param poll the number of the poll that found it
	 */
	private record Opened(long at, long poll) {

	}

}
