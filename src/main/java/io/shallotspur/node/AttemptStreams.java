package io.shallotspur.node;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.jspecify.annotations.Nullable;

import io.shallotspur.resume.StreamId;

/**
 * The attempts of a cell that are under way, and the streams that they have at workers.
 * Confined to the cell's thread but for {@link #runs}, which any thread may call.
 * <p>
 * Invariant: what was ended here is cancelled at its worker.
 */
final class AttemptStreams {

	private final NodePorts ports;

	private final long base;

	private final StreamCanceller canceller;

	private final Map<Long, ModelAttempt> attempts = new ConcurrentHashMap<>();

	/**
	 * Creates an empty table.
	 * @param ports names and cancels streams
	 * @param base added to the numbers of attempts to name streams
	 */
	AttemptStreams(NodePorts ports, long base) {
		this.ports = ports;
		this.base = base;
		this.canceller = new StreamCanceller(ports);
	}

	/**
	 * Adds an attempt to a session.
	 * @param s the session
	 * @param number the number of the attempt
	 * @param decodeWorker where it is going to be decoded
	 * @return the attempt
	 */
	ModelAttempt open(ModelSession s, long number, String decodeWorker) {
		ModelAttempt a = new ModelAttempt(s, number, streamId(number), decodeWorker);
		this.attempts.put(number, a);
		s.attempts().add(a);
		return a;
	}

	@Nullable ModelAttempt get(long number) {
		return this.attempts.get(number);
	}

	boolean has(ModelAttempt a) {
		return this.attempts.containsKey(a.number());
	}

	/**
	 * Tells whether a request uses a stream.
	 * @param stream the number of the stream within this incarnation of the VM
	 * @return whether one does
	 */
	boolean runs(long stream) {
		return this.attempts.containsKey(stream - this.base);
	}

	/**
	 * Ends an attempt that the scheduler has written off. A worker whose reports broke
	 * off may live on and generate for it; its tokens must not reach the caller twice.
	 * @param a the attempt
	 */
	void giveUp(ModelAttempt a) {
		if (this.attempts.remove(a.number()) != null) {
			stop(a, a.decodeWorker());
		}
	}

	/**
	 * Forgets the attempts of a session that has ended.
	 * @param s the session
	 */
	void forget(ModelSession s) {
		s.attempts().forEach((a) -> this.attempts.remove(a.number()));
	}

	/**
	 * Stops an attempt and cancels its stream.
	 * @param number the attempt, known or not
	 * @param worker where the stream is
	 */
	void stop(long number, String worker) {
		ModelAttempt a = this.attempts.get(number);
		if (a != null) {
			stop(a, worker);
		}
		else {
			drop(number, worker);
		}
	}

	private void stop(ModelAttempt a, String worker) {
		a.stop();
		drop(a.number(), worker);
	}

	/**
	 * Cancels a stream at a worker.
	 * @param number the attempt
	 * @param worker the worker
	 */
	void drop(long number, String worker) {
		this.canceller.cancel(worker, streamId(number));
	}

	private String streamId(long number) {
		return new StreamId(this.ports.vm(), this.ports.incarnation(), this.base + number).toString();
	}

}
