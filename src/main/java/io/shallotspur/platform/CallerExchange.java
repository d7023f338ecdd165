package io.shallotspur.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.NettyOutbound;
import reactor.netty.http.server.HttpServerResponse;

import io.shallotspur.gateway.CallerResponse;
import io.shallotspur.gateway.HeaderField;
import io.shallotspur.gateway.RefusalReason;
import io.shallotspur.gateway.RelayRefusal;

/**
 * The answer to one caller over HTTP. Confined to the event loop.
 * <p>
 * Invariant: an answer of unknown length ends with its closing chunk only through
 * {@link #complete}; {@link #abort} closes the connection before it.
 */
final class CallerExchange implements CallerResponse {

	private static final double MS_PER_S = 1_000;

	private final HttpServerResponse response;

	private final BooleanSupplier closing;

	private final Sinks.One<Publisher<Void>> output = Sinks.one();

	private final Sinks.Many<ByteBuf> parts = Sinks.many().unicast().onBackpressureBuffer();

	private Runnable whenDone = () -> {
	};

	CallerExchange(HttpServerResponse response, BooleanSupplier closing) {
		this.response = response;
		this.closing = closing;
	}

	/**
	 * Returns what the server waits for.
	 * @return completes when the answer is written
	 */
	Mono<Void> done() {
		return this.output.asMono().flatMap(Mono::from).doFinally((s) -> this.whenDone.run());
	}

	/**
	 * Says what is to be done when the answer is written or its connection is lost.
	 * @param task run once
	 */
	void onDone(Runnable task) {
		this.whenDone = task;
	}

	@Override
	public void send(int status, List<HeaderField> headers, byte[] body) {
		head(status, headers);
		this.response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
		this.output.tryEmitValue(this.response.sendObject(Unpooled.wrappedBuffer(body)));
	}

	@Override
	public void refuse(RelayRefusal refusal) {
		byte[] body = refusal.reason().code().getBytes(StandardCharsets.US_ASCII);
		if (refusal.retryAfterMs() > 0) {
			this.response.header(HttpHeaderNames.RETRY_AFTER,
					String.format(Locale.ROOT, "%.3f", refusal.retryAfterMs() / MS_PER_S));
		}
		// What is left of a request that was not understood cannot be told from the next.
		if (refusal.reason() == RefusalReason.BAD_REQUEST) {
			this.response.header(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		send(refusal.status(), List.of(new HeaderField("Content-Type", "text/plain")), body);
	}

	@Override
	public void start(int status, List<HeaderField> headers) {
		head(status, headers);
		NettyOutbound out = this.response.send(this.parts.asFlux(), (b) -> true);
		this.output.tryEmitValue(out);
	}

	@Override
	public void write(byte[] bytes) {
		this.parts.tryEmitNext(Unpooled.wrappedBuffer(bytes));
	}

	@Override
	public void complete() {
		this.parts.tryEmitComplete();
	}

	@Override
	public void abort() {
		this.response.withConnection((c) -> c.channel().close());
	}

	private void head(int status, List<HeaderField> headers) {
		this.response.status(status);
		headers.forEach((f) -> this.response.addHeader(f.name(), f.value()));
		if (this.closing.getAsBoolean()) {
			this.response.header(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

}
