package io.shallotspur.gateway;

import java.io.ByteArrayOutputStream;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * One request at one worker: judges what comes back and hands on what can be trusted. Not
 * thread-safe; confined to the gateway's thread.
 * <p>
 * Invariant: of {@link Listener#onSuccess} and {@link Listener#onFailure} exactly one is called,
 * once, unless the attempt is cancelled.
 */
final class Attempt implements ExchangeListener {

	// Answers up to this size are held until they are whole, so that a cut one can
	// still be replaced by another worker's answer or by a true error, bytes. Measured
	// answers of plain services stay below 8 KB.
	private static final int MAX_BUFFERED_BYTES = 256 << 10;

	private final Listener listener;

	private final WorkerState worker;

	private final boolean stream;

	private final boolean resumed;

	private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();

	private final EventSplitter events = new EventSplitter();

	private final Runnable onWorkerRestart = () -> onFailure(new ExchangeFailure(true, "worker started again"));

	private @Nullable ResponseHead head;

	private @Nullable Exchange exchange;

	private boolean responseStarted;

	private boolean done;

	/**
	 * Creates an attempt.
	 * @param sink hears the result
	 * @param worker the worker
	 * @param stream whether a success is a stream of events
	 * @param resumed whether the caller already has the beginning of the stream
	 */
	Attempt(Listener sink, WorkerState worker, boolean stream, boolean resumed) {
		this.listener = sink;
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

	WorkerState worker() {
		return this.worker;
	}

	/**
	 * Gives the attempt up; the worker is to stop.
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
			fail(AttemptOutcome.UNKNOWN, "foreign answer");
		}
		else if (h.notRun()) {
			fail(AttemptOutcome.NOT_RUN, "status " + h.status());
		}
		else if (h.isSuccess() && h.authenticity() != ResponseAuthenticity.SIGNED) {
			fail(AttemptOutcome.UNKNOWN, "unsigned success");
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

	private void onEvents(ResponseHead h, List<byte[]> whole) {
		for (byte[] event : whole) {
			startResponse(h);
			this.listener.onEvent(event);
		}
		if (this.events.exceedsMaxSize()) {
			fail(AttemptOutcome.UNKNOWN, "event too long");
		}
	}

	private void bufferOrForward(ResponseHead h, byte[] bytes) {
		if (this.responseStarted) {
			this.listener.onBytes(bytes);
			return;
		}
		this.buffer.writeBytes(bytes);
		if (this.buffer.size() > MAX_BUFFERED_BYTES) {
			startResponse(h);
			this.listener.onBytes(this.buffer.toByteArray());
			this.buffer.reset();
		}
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
			fail(AttemptOutcome.UNKNOWN, "ended within an event");
		}
		else if (!h.isSuccess() && (h.authenticity() != ResponseAuthenticity.SIGNED || this.resumed)) {
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
	 * Hears what an attempt brings.
	 */
	interface Listener {

		// The answer has begun; it may have news of the worker.
		void onHead(ResponseHead head);

		// A success begins whose bytes follow.
		void onResponseStart(ResponseHead head);

		// A whole event of a stream.
		void onEvent(byte[] event);

		// Bytes of a long answer that is no stream.
		void onBytes(byte[] bytes);

		// The answer is whole; the body is empty if it was handed on in parts.
		void onSuccess(ResponseHead head, byte[] body, boolean begun);

		// No success; head and body are those of the worker's own failure, if any.
		void onFailure(AttemptOutcome end, String reason, @Nullable ResponseHead head, byte[] body);

	}

}
