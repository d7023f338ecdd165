package io.shallotspur.gateway;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

/**
 * One attempt to run a request at one worker. Forwards nothing of a response that belongs
 * to another request or of an unsigned success, nothing but events to a caller who has
 * the beginning of the stream, and these only when complete. Other bodies are forwarded
 * as they arrive once they exceed the buffer, but for failures that could not be relayed
 * when whole. Not thread-safe; confined to the gateway's thread.
 * <p>
 * Invariant: exactly one of {@link Listener#onSuccess} and {@link Listener#onFailure} is
 * called, once, unless the attempt is cancelled.
 */
final class Attempt implements ExchangeListener {

	// Responses up to this size are buffered until complete, so that a truncated one can
	// still be replaced by another worker's response or by an accurate error, bytes.
	// Measured responses of plain services are below 8 KB.
	private static final int MAX_BUFFERED_BYTES = 256 << 10;

	private final Listener listener;

	private final WorkerState worker;

	private final boolean stream;

	private final boolean resumed;

	private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();

	private final EventSplitter events = new EventSplitter();

	private final Runnable onWorkerRestart = () -> onFailure(new ExchangeFailure(true, "worker restarted"));

	private @Nullable ResponseHead head;

	private @Nullable Exchange exchange;

	private boolean responseStarted;

	private boolean done;

	/**
	 * Creates an attempt.
	 * @param listener receives the result
	 * @param worker the worker
	 * @param stream whether a successful response is an event stream
	 * @param resumed whether the caller already has the beginning of the stream
	 */
	Attempt(Listener listener, WorkerState worker, boolean stream, boolean resumed) {
		this.listener = listener;
		this.worker = worker;
		this.stream = stream;
		this.resumed = resumed;
		this.responseStarted = resumed;
	}

	void send(WorkerPort port, WorkerCall call) {
		this.worker.addTerminationListener(this.onWorkerRestart);
		Exchange e = port.run(call, this);
		this.exchange = e;
		if (this.done) {
			e.cancel();
		}
	}

	/**
	 * Reads the worker's response more slowly, or at full speed again. Has no effect on
	 * an attempt that has not been sent or has ended.
	 * @param paused whether to read slowly
	 */
	void setPaused(boolean paused) {
		if (this.exchange != null && !this.done) {
			this.exchange.setPaused(paused);
		}
	}

	WorkerState worker() {
		return this.worker;
	}

	/**
	 * Cancels the attempt and tells the worker to stop.
	 */
	void cancel() {
		finish();
		if (this.exchange != null) {
			this.exchange.cancel();
		}
	}

	@Override
	public void onHead(ResponseHead h) {
		if (this.done) {
			return;
		}
		this.head = h;
		this.listener.onHead(h);
		if (h.authenticity() == ResponseAuthenticity.MISMATCHED) {
			fail(AttemptOutcome.UNKNOWN, "response does not match the request");
		}
		else if (h.notRun()) {
			fail(AttemptOutcome.NOT_RUN, "status " + h.status());
		}
		else if (h.isSuccess() && h.authenticity() != ResponseAuthenticity.SIGNED) {
			fail(AttemptOutcome.UNKNOWN, "unsigned success response");
		}
		else if (!h.isSuccess() && this.resumed) {
			fail(AttemptOutcome.UNKNOWN, "status " + h.status());
		}
	}

	@Override
	public void onBytes(byte[] bytes) {
		ResponseHead h = this.head;
		if (this.done || h == null) {
			return;
		}
		if (this.stream && h.isSuccess()) {
			onEvents(h, this.events.append(bytes));
		}
		else {
			bufferOrForward(h, bytes);
		}
	}

	private void onEvents(ResponseHead h, List<byte[]> completeEvents) {
		for (byte[] event : completeEvents) {
			startResponse(h);
			this.listener.onEvent(event);
		}
		if (this.events.exceedsMaxSize()) {
			fail(AttemptOutcome.UNKNOWN, "event exceeds the maximum size");
		}
	}

	private void bufferOrForward(ResponseHead h, byte[] bytes) {
		if (this.responseStarted) {
			this.listener.onBytes(bytes);
			return;
		}
		this.buffer.writeBytes(bytes);
		if (this.buffer.size() > MAX_BUFFERED_BYTES && !mayStartWith(h)) {
			fail(AttemptOutcome.UNKNOWN, "status " + h.status() + " with a long body");
		}
		else if (this.buffer.size() > MAX_BUFFERED_BYTES) {
			startResponse(h);
			this.listener.onBytes(this.buffer.toByteArray());
			this.buffer.reset();
		}
	}

	// Whether the caller may get a response before it is whole. Events could follow what
	// was begun as a failure.
	private boolean mayStartWith(ResponseHead h) {
		boolean signed = h.authenticity() == ResponseAuthenticity.SIGNED;
		return h.isSuccess() || (signed && !this.stream && !RelayRefusal.promisesNotRun(h.status()));
	}

	private void startResponse(ResponseHead h) {
		if (!this.responseStarted) {
			this.responseStarted = true;
			this.listener.onResponseStart(h);
		}
	}

	@Override
	public void onEnd() {
		ResponseHead h = this.head;
		if (this.done || h == null) {
			return;
		}
		if (this.events.hasPartialEvent()) {
			fail(AttemptOutcome.UNKNOWN, "stream ended within an event");
		}
		else if (h.endsWithConnection()) {
			this.listener.verifyEnd((whole) -> onEndVerified(h, whole));
		}
		else {
			onWholeResponse(h);
		}
	}

	private void onEndVerified(ResponseHead h, boolean whole) {
		if (this.done) {
			return;
		}
		if (whole) {
			onWholeResponse(h);
		}
		else {
			fail(AttemptOutcome.UNKNOWN, "worker ended with its response");
		}
	}

	private void onWholeResponse(ResponseHead h) {
		if (!h.isSuccess() && h.authenticity() != ResponseAuthenticity.SIGNED) {
			fail(AttemptOutcome.UNKNOWN, "status " + h.status());
		}
		else if (!h.isSuccess()) {
			finish();
			this.listener.onFailure(AttemptOutcome.FAILED, "status " + h.status(), h, this.buffer.toByteArray());
		}
		else {
			finish();
			this.listener.onSuccess(h, this.buffer.toByteArray(), this.responseStarted);
		}
	}

	@Override
	public void onFailure(ExchangeFailure f) {
		if (!this.done) {
			fail(f.sent() ? AttemptOutcome.UNKNOWN : AttemptOutcome.NOT_SENT, f.reason());
		}
	}

	private void finish() {
		this.done = true;
		this.worker.removeTerminationListener(this.onWorkerRestart);
	}

	private void fail(AttemptOutcome end, String reason) {
		cancel();
		this.listener.onFailure(end, reason, null, new byte[0]);
	}

	/**
	 * Receives the progress and the result of an attempt.
	 */
	interface Listener {

		// The response head was received; it may carry the worker's load and limit.
		void onHead(ResponseHead head);

		// A response starts whose body follows in parts: a success, or a failure too
		// large to buffer.
		void onResponseStart(ResponseHead head);

		// A complete event of a stream.
		void onEvent(byte[] event);

		// Part of a large response that is not a stream.
		void onBytes(byte[] bytes);

		// A response ended with its connection. The callback is told whether it is whole,
		// or has ended with its worker.
		void verifyEnd(Consumer<Boolean> callback);

		// The response is complete; the body is empty if it was forwarded in parts.
		void onSuccess(ResponseHead head, byte[] body, boolean responseStarted);

		// The attempt failed; head and body are those of the worker's own error
		// response, if any.
		void onFailure(AttemptOutcome end, String reason, @Nullable ResponseHead head, byte[] body);

	}

}
