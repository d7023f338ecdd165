package io.shallotspur.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import org.reactivestreams.Publisher;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.NettyOutbound;
import reactor.netty.http.server.HttpServerResponse;

import io.shallotspur.gateway.CallerResponse;
import io.shallotspur.gateway.HeaderField;
import io.shallotspur.gateway.RefusalReason;
import io.shallotspur.gateway.RelayRefusal;
import io.shallotspur.transit.ByteBudget;
import io.shallotspur.transit.FlowGate;

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

	private final LongSupplier clock;

	private final ByteBudget.Holding holding;

	private final FlowGate gate = new FlowGate();

	private String id = "";

	private Consumer<Boolean> pauses = (paused) -> {
	};

	private final PendingWrites written;

	// Bytes that the connection has not taken over yet.
	private long queued;

	private boolean ended;

	private final Sinks.One<Publisher<Void>> output = Sinks.one();

	private final ChunkQueue chunks;

	private Runnable doneCallback = () -> {
	};

	/**
	 * Creates a response of which nothing is sent.
	 * @param response the HTTP response
	 * @param closes whether the connection is closed after the response
	 * @param budget holds what the caller has not read
	 * @param clock the time in milliseconds
	 */
	HttpCallerResponse(HttpServerResponse response, BooleanSupplier closes, ByteBudget budget, LongSupplier clock) {
		this.response = response;
		this.closes = closes;
		this.clock = clock;
		this.holding = budget.open(this::cut);
		PendingWrites[] found = new PendingWrites[1];
		response.withConnection((c) -> found[0] = PendingWrites.of(c.channel()));
		this.written = found[0];
		this.chunks = new ChunkQueue(this.written, this::released);
		this.written.onWritten(this::onWritten);
	}

	/**
	 * Returns a signal for the server to wait for.
	 * @return completes when the response is written
	 */
	Mono<Void> completion() {
		return this.output.asMono().flatMap(Mono::from).doFinally((s) -> {
			this.ended = true;
			this.holding.close();
			this.doneCallback.run();
		});
	}

	/**
	 * Sets the task to run when the response is written or its connection is lost.
	 * @param task run once
	 */
	void onDone(Runnable task) {
		this.doneCallback = task;
	}

	@Override
	public void admitted(String requestId, int rank, Consumer<Boolean> pauseListener) {
		this.id = requestId;
		this.holding.rank(rank);
		this.pauses = pauseListener;
	}

	@Override
	public void send(int status, List<HeaderField> headers, byte[] body) {
		hold(body.length);
		if (this.ended) {
			return;
		}
		head(status, headers);
		this.response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
		this.output.tryEmitValue(this.response.sendObject(new CountedBuffer(body, () -> released(body.length))));
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
		NettyOutbound out = this.response.send(this.chunks.buffers(), (b) -> true);
		this.output.tryEmitValue(out);
	}

	@Override
	public void write(byte[] bytes) {
		if (this.ended) {
			return;
		}
		hold(bytes.length);
		if (!this.ended) {
			this.chunks.add(bytes);
		}
	}

	private void onWritten() {
		updateHolding();
		this.chunks.resume();
	}

	private void released(int bytes) {
		this.queued -= bytes;
		updateHolding();
	}

	private void hold(int bytes) {
		this.queued += bytes;
		updateHolding();
	}

	// Sets the holding to what is queued here and in the connection.
	private void updateHolding() {
		long now = this.clock.getAsLong();
		long more = this.queued + this.written.bytes() - this.holding.bytes();
		if (more > 0) {
			this.holding.add(more, now);
		}
		else if (more < 0) {
			this.holding.release(-more, now);
		}
		updatePause();
	}

	private void updatePause() {
		boolean stopped = this.gate.isStopped();
		if (!this.ended && this.gate.update(this.holding.bytes()) != stopped) {
			this.pauses.accept(!stopped);
		}
	}

	// The caller must see that its response is incomplete.
	private void cut() {
		this.ended = true;
		Logger.warn("[transit] response cut, as its caller does not read id={}", this.id);
		abort();
	}

	@Override
	public void complete() {
		this.chunks.complete();
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
