package io.shallotspur.adapter.caller;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

import io.shallotspur.node.FrontEnd;
import io.shallotspur.node.RefusedException;
import io.shallotspur.node.RequestHandler;
import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;

/**
 * The callers' HTTP. Thread-safe. Every failure is answered by a problem document, or,
 * when an event stream has begun, by a last event of the type {@code error}.
 */
public final class CallerServer implements FrontEnd {

	private static final long MS_PER_SECOND = 1000;

	private final CallerSettings settings;

	private final @Nullable LoopResources loops;

	private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

	// Requests whose heads were read and whose answers are not handed over whole.
	private final AtomicInteger exchanges = new AtomicInteger();

	private volatile boolean draining;

	private volatile @Nullable DisposableServer server;

	/**
	 * Creates a server on the event loops that all of the process share.
	 * @param settings the limits
	 */
	public CallerServer(CallerSettings settings) {
		this(settings, null);
	}

	/**
	 * Creates a server.
	 * @param settings the limits
	 * @param loops the event loops, or {@code null} for those that all of the process
	 * share
	 */
	public CallerServer(CallerSettings settings, @Nullable LoopResources loops) {
		this.settings = settings;
		this.loops = loops;
	}

	@Override
	public Mono<String> start(RequestHandler handler) {
		CallerRoutes routes = new CallerRoutes(this.settings, handler);
		return http().handle((req, res) -> handle(routes, req, res))
			.bind()
			.doOnNext((s) -> this.server = s)
			.map((s) -> s.host() + ":" + s.port());
	}

	@Override
	public void drain() {
		this.draining = true;
	}

	@Override
	public Mono<Void> stop() {
		DisposableServer s = this.server;
		if (s == null) {
			return Mono.empty();
		}
		return Mono.defer(() -> {
			s.dispose();
			this.connections.forEach(Connection::dispose);
			return s.onDispose();
		});
	}

	@Override
	public int openAnswers() {
		int unwritten = (int) this.connections.stream().filter(CallerServer::hasUnwritten).count();
		return Math.max(this.exchanges.get(), unwritten);
	}

	private static boolean hasUnwritten(Connection c) {
		ChannelOutboundBuffer b = c.channel().unsafe().outboundBuffer();
		return b != null && b.totalPendingWriteBytes() > 0;
	}

	/**
	 * Returns how many connections are open.
	 * @return the number
	 */
	public int openConnections() {
		return this.connections.size();
	}

	private HttpServer http() {
		CallerSettings s = this.settings;
		HttpServer h = HttpServer.create()
			.host(s.host())
			.port(s.port())
			.httpRequestDecoder((d) -> d.maxHeaderSize(s.maxHeaderBytes()).maxInitialLineLength(s.maxLineBytes()))
			.idleTimeout(Duration.ofMillis(s.idleTimeoutMs()))
			.readTimeout(Duration.ofMillis(s.readTimeoutMs()))
			.requestTimeout(Duration.ofMillis(s.requestTimeoutMs()))
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
					new WriteBufferWaterMark(s.writeBufferBytes() / 2, s.writeBufferBytes()))
			.doOnConnection(this::accept);
		return (this.loops != null) ? h.runOn(this.loops) : h;
	}

	private void accept(Connection c) {
		this.connections.add(c);
		c.onDispose(() -> this.connections.remove(c));
		if (this.connections.size() > this.settings.maxConnections()) {
			Logger.warn("[caller] More than {} connections, a new one is closed.", this.settings.maxConnections());
			c.dispose();
			return;
		}
		c.addHandlerLast(new SlowReaderGuard(this.settings.writeStallMs()));
	}

	private Publisher<Void> handle(CallerRoutes routes, HttpServerRequest req, HttpServerResponse res) {
		if (this.draining) {
			res.header(HttpHeaderNames.CONNECTION, "close");
		}
		this.exchanges.incrementAndGet();
		return Mono.defer(() -> routes.handle(req, res))
			.onErrorResume((ex) -> problem(res, ex))
			.doFinally((s) -> this.exchanges.decrementAndGet());
	}

	private static Mono<Void> problem(HttpServerResponse res, Throwable ex) {
		Refusal r = refusal(ex);
		if (res.hasSentHeaders()) {
			return Mono.error(ex);
		}
		if (r.retryAfterMs() > 0) {
			long s = (r.retryAfterMs() + MS_PER_SECOND - 1) / MS_PER_SECOND;
			res.header(HttpHeaderNames.RETRY_AFTER, Long.toString(s));
		}
		if (r.code() == RefusalCode.BODY_TOO_LARGE) {
			res.header(HttpHeaderNames.CONNECTION, "close");
		}
		return CallerRoutes.body(res, r.code().httpStatus(), Problem.MEDIA_TYPE, Problem.of(r).toJson());
	}

	/**
	 * Returns what a caller is told about a failure.
	 * @param ex the failure
	 * @return the refusal
	 */
	static Refusal refusal(Throwable ex) {
		if (ex instanceof RefusedException r) {
			return r.getRefusal();
		}
		Logger.error(ex, "[caller] A request failed.");
		return Refusal.outcomeUnknown(RefusalCode.OUTCOME_UNKNOWN, "The request failed in the router.");
	}

}
