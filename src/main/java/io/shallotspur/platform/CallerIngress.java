package io.shallotspur.platform;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
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

/**
 * Takes callers' requests over HTTP. Confined to the event loop.
 */
final class CallerIngress {

	private static final int BAD_REQUEST = 400;

	private static final int TOO_LARGE = 413;

	// The decoder's limit is set when a connection is made, before the configuration is
	// known; the operator's own is checked afterwards, bytes.
	private static final int DECODER_HEADER_BYTES = 64 << 10;

	private static final int HEADERS_TOO_LARGE = 431;

	// Callers reuse connections for most of the idle time that the operator sets, which
	// is not known when they connect. Closed before that, a connection could meet the
	// next request on its way. A few times the usual 15 s.
	private static final Duration IDLE_LIMIT = Duration.ofSeconds(60);

	// A caller that sends its request more slowly is answered 408: it would hold a
	// connection for nothing. Five times what operators allow for the headers.
	private static final Duration READ_LIMIT = Duration.ofSeconds(15);

	private final Endpoint listen;

	private final Loop loop;

	private final Gateway gateway;

	private final Set<Channel> connections = new HashSet<>();

	private final Set<Channel> busy = new HashSet<>();

	private boolean closing;

	CallerIngress(Endpoint listen, Loop loop, Gateway gateway) {
		this.listen = listen;
		this.loop = loop;
		this.gateway = gateway;
	}

	Mono<? extends DisposableServer> bind() {
		return HttpServer.create()
			.host(this.listen.host())
			.port(this.listen.port())
			.runOn(this.loop.resources(), false)
			.httpRequestDecoder((d) -> d.maxHeaderSize(DECODER_HEADER_BYTES).maxInitialLineLength(DECODER_HEADER_BYTES))
			.idleTimeout(IDLE_LIMIT)
			.requestTimeout(READ_LIMIT)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.doOnConnection(this::connected)
			.handle(this::handle)
			.bind();
	}

	private void connected(Connection c) {
		Channel ch = c.channel();
		this.connections.add(ch);
		ch.closeFuture().addListener((f) -> this.connections.remove(ch));
	}

	/**
	 * Marks all answers from now on as the last ones of their connections.
	 */
	void closeAfterAnswers() {
		this.closing = true;
	}

	/**
	 * Closes the connections that wait for no answer.
	 */
	void closeIdle() {
		List.copyOf(this.connections).stream().filter((c) -> !this.busy.contains(c)).forEach(Channel::close);
	}

	private Mono<Void> handle(HttpServerRequest req, HttpServerResponse res) {
		IngressLimits limits = this.gateway.routeTable().map(RouteTable::limits).orElse(IngressLimits.DEFAULT);
		CallerExchange answer = new CallerExchange(res, () -> this.closing);
		if (headerBytes(req) > limits.maxHeaderBytes()) {
			return refuse(answer, res, HEADERS_TOO_LARGE);
		}
		String length = req.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH);
		if (length != null && length.matches("\\d{1,18}") && Long.parseLong(length) > limits.maxBodyBytes()) {
			return refuse(answer, res, TOO_LARGE);
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		return req.receive()
			.asByteArray()
			.doOnNext(body::writeBytes)
			.takeUntil((b) -> body.size() > limits.maxBodyBytes())
			.then(Mono.defer(() -> (body.size() > limits.maxBodyBytes()) ? refuse(answer, res, TOO_LARGE)
					: relay(req, res, body.toByteArray(), answer)));
	}

	private static int headerBytes(HttpServerRequest req) {
		int n = req.uri().length();
		for (Map.Entry<String, String> e : req.requestHeaders()) {
			n += e.getKey().length() + e.getValue().length() + ": \r\n".length();
		}
		return n;
	}

	private Mono<Void> relay(HttpServerRequest req, HttpServerResponse res, byte[] body, CallerExchange answer) {
		RelayRequest r;
		try {
			r = RequestDecoder.decode(req.method().name(), req.uri(), req.requestHeaders(), body);
		}
		catch (InputException ex) {
			Logger.info("[caller] malformed request seen=\"{}\"", ex.getMessage());
			return refuse(answer, res, BAD_REQUEST);
		}
		res.withConnection((c) -> watch(c.channel(), r, answer));
		return answer.done();
	}

	private void watch(Channel c, RelayRequest r, CallerExchange answer) {
		this.busy.add(c);
		Runnable gone = this.gateway.handle(r, answer);
		ChannelFutureListener l = (f) -> gone.run();
		c.closeFuture().addListener(l);
		answer.onDone(() -> {
			this.busy.remove(c);
			c.closeFuture().removeListener(l);
		});
	}

	private Mono<Void> refuse(CallerExchange answer, HttpServerResponse res, int status) {
		res.header(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		answer.refuse(new RelayRefusal(status, RefusalReason.BAD_REQUEST, 0));
		return answer.done();
	}

}
