package io.shallotspur.gateway;

import java.io.ByteArrayOutputStream;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * One request at one worker: judges what comes back and hands on what can be trusted. Not
 * thread-safe; confined to the gateway's thread.
 * <p>
 * Invariant: of {@link Sink#succeeded} and {@link Sink#failed} exactly one is called,
 * once, unless the attempt is cancelled.
 */
final class Attempt implements ExchangeListener {

	// Answers up to this size are held until they are whole, so that a cut one can
	// still be replaced by another worker's answer or by a true error, bytes. Measured
	// answers of plain services stay below 8 KB.
	private static final int HELD_BYTES = 256 << 10;

	private final Sink sink;

	private final WorkerState worker;

	private final boolean stream;

	private final boolean resumed;

	private final ByteArrayOutputStream held = new ByteArrayOutputStream();

	private final EventSplitter events = new EventSplitter();

	private final Runnable onWorkerEnd = () -> onFailure(new ExchangeFailure(true, "worker started again"));

	private @Nullable AnswerHead head;

	private @Nullable Exchange exchange;

	private boolean begun;

	private boolean over;

	/**
	 * Creates an attempt.
	 * @param sink hears the result
	 * @param worker the worker
	 * @param stream whether a success is a stream of events
	 * @param resumed whether the caller already has the beginning of the stream
	 */
	Attempt(Sink sink, WorkerState worker, boolean stream, boolean resumed) {
		this.sink = sink;
		this.worker = worker;
		this.stream = stream;
		this.resumed = resumed;
		this.begun = resumed;
	}

	void send(WorkerPort port, WorkerCall call) {
		this.worker.whenEnded(this.onWorkerEnd);
		Exchange e = port.run(call, this);
		this.exchange = e;
		if (this.over) {
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
		end();
		if (this.exchange != null) {
			this.exchange.cancel();
		}
	}

	@Override
	public void onHead(AnswerHead h) {
		if (this.over) {
			return;
		}
		this.head = h;
		this.sink.head(h);
		if (h.origin() == AnswerOrigin.FOREIGN) {
			fail(AttemptEnd.UNKNOWN, "foreign answer");
		}
		else if (h.notRun()) {
			fail(AttemptEnd.NOT_RUN, "status " + h.status());
		}
		else if (h.success() && h.origin() != AnswerOrigin.SIGNED) {
			fail(AttemptEnd.UNKNOWN, "unsigned success");
		}
	}

	@Override
	public void onBytes(byte[] bytes) {
		AnswerHead h = this.head;
		if (this.over || h == null) {
			return;
		}
		if (this.stream && h.success()) {
			onEvents(h, this.events.add(bytes));
		}
		else {
			hold(h, bytes);
		}
	}

	private void onEvents(AnswerHead h, List<byte[]> whole) {
		for (byte[] event : whole) {
			begin(h);
			this.sink.event(event);
		}
		if (this.events.tooLong()) {
			fail(AttemptEnd.UNKNOWN, "event too long");
		}
	}

	private void hold(AnswerHead h, byte[] bytes) {
		if (this.begun) {
			this.sink.bytes(bytes);
			return;
		}
		this.held.writeBytes(bytes);
		if (this.held.size() > HELD_BYTES) {
			begin(h);
			this.sink.bytes(this.held.toByteArray());
			this.held.reset();
		}
	}

	private void begin(AnswerHead h) {
		if (!this.begun) {
			this.begun = true;
			this.sink.begin(h);
		}
	}

	@Override
	public void onEnd() {
		AnswerHead h = this.head;
		if (this.over || h == null) {
			return;
		}
		if (this.events.midEvent()) {
			fail(AttemptEnd.UNKNOWN, "ended within an event");
		}
		else if (!h.success() && (h.origin() != AnswerOrigin.SIGNED || this.resumed)) {
			fail(AttemptEnd.UNKNOWN, "status " + h.status());
		}
		else if (!h.success()) {
			end();
			this.sink.failed(AttemptEnd.FAILED, "status " + h.status(), h, this.held.toByteArray());
		}
		else {
			end();
			this.sink.succeeded(h, this.held.toByteArray(), this.begun);
		}
	}

	@Override
	public void onFailure(ExchangeFailure f) {
		if (!this.over) {
			fail(f.sent() ? AttemptEnd.UNKNOWN : AttemptEnd.NOT_SENT, f.reason());
		}
	}

	private void end() {
		this.over = true;
		this.worker.forget(this.onWorkerEnd);
	}

	private void fail(AttemptEnd end, String reason) {
		cancel();
		this.sink.failed(end, reason, null, new byte[0]);
	}

	/**
	 * Hears what an attempt brings.
	 */
	interface Sink {

		// The answer has begun; it may have news of the worker.
		void head(AnswerHead head);

		// A success begins whose bytes follow.
		void begin(AnswerHead head);

		// A whole event of a stream.
		void event(byte[] event);

		// Bytes of a long answer that is no stream.
		void bytes(byte[] bytes);

		// The answer is whole; the body is empty if it was handed on in parts.
		void succeeded(AnswerHead head, byte[] body, boolean begun);

		// No success; head and body are those of the worker's own failure, if any.
		void failed(AttemptEnd end, String reason, @Nullable AnswerHead head, byte[] body);

	}

}
