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
 * The HTTP response to one caller. Confined to the event loop.
 * <p>
 * Invariant: a chunked response gets its final chunk only from {@link #complete}.
 * {@link #abort} closes the connection without it, so the caller sees that the response
 * is incomplete.
 */
final class HttpCallerResponse implements CallerResponse {

	private static final double MS_PER_S = 1_000;

	private final HttpServerResponse response;

	private final BooleanSupplier closes;

	private final Sinks.One<Publisher<Void>> output = Sinks.one();

	private final Sinks.Many<ByteBuf> chunks = Sinks.many().unicast().onBackpressureBuffer();

	private Runnable doneCallback = () -> {
	};

	HttpCallerResponse(HttpServerResponse response, BooleanSupplier closes) {
		this.response = response;
		this.closes = closes;
	}

	/**
	 * Returns a signal for the server to wait for.
	 * @return completes when the response is written
	 */
	Mono<Void> completion() {
		return this.output.asMono().flatMap(Mono::from).doFinally((s) -> this.doneCallback.run());
	}

	/**
	 * Sets the task to run when the response is written or its connection is lost.
	 * @param task run once
	 */
	void onDone(Runnable task) {
		this.doneCallback = task;
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
		// The unread rest of a malformed request cannot be told apart from the next
		// request on the connection.
		if (refusal.reason() == RefusalReason.BAD_REQUEST) {
			this.response.header(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		send(refusal.status(), List.of(new HeaderField("Content-Type", "text/plain")), body);
	}

	@Override
	public void start(int status, List<HeaderField> headers) {
		head(status, headers);
		NettyOutbound out = this.response.send(this.chunks.asFlux(), (b) -> true);
		this.output.tryEmitValue(out);
	}

	@Override
	public void write(byte[] bytes) {
		this.chunks.tryEmitNext(Unpooled.wrappedBuffer(bytes));
	}

	@Override
	public void complete() {
		this.chunks.tryEmitComplete();
	}

	@Override
	public void abort() {
		this.response.withConnection((c) -> c.channel().close());
	}

	private void head(int status, List<HeaderField> headers) {
		this.response.status(status);
		headers.forEach((f) -> this.response.addHeader(f.name(), f.value()));
		if (this.closes.getAsBoolean()) {
			this.response.header(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

}
