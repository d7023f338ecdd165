package io.shallotspur.node;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;
import reactor.core.Disposable;
import reactor.core.publisher.MonoSink;

import io.shallotspur.port.PlainReply;

/**
 * A call to a plain service on its way. Several callers may wait for it: those who sent
 * it again under the same key. Confined to the thread of the loop.
 */
final class PlainSession {

	private final PlainTask task;

	private final List<MonoSink<PlainReply>> waiters = new ArrayList<>(1);

	private long attempt;

	private @Nullable Disposable running;

	private boolean intentHeld;

	private boolean ended;

	PlainSession(PlainTask task) {
		this.task = task;
	}

	PlainTask task() {
		return this.task;
	}

	String id() {
		return this.task.request().id();
	}

	boolean repeatable() {
		return this.task.request().repeatable();
	}

	boolean needsIntent() {
		return !repeatable() && !this.intentHeld;
	}

	boolean intentHeld() {
		return this.intentHeld;
	}

	void intentHeld(boolean held) {
		this.intentHeld = held;
	}

	boolean ended() {
		return this.ended;
	}

	void end() {
		this.ended = true;
	}

	long attempt() {
		return this.attempt;
	}

	void attempt(long attempt) {
		this.attempt = attempt;
	}

	/**
	 * Returns whether a worker may be running the call now.
	 * @return whether the call was sent and its end is not known
	 */
	boolean dispatched() {
		return this.running != null;
	}

	void running(@Nullable Disposable running) {
		this.running = running;
	}

	void stop() {
		if (this.running != null) {
			this.running.dispose();
			this.running = null;
		}
	}

	void join(MonoSink<PlainReply> waiter) {
		this.waiters.add(waiter);
	}

	/**
	 * Takes a caller out who is gone.
	 * @param waiter the caller
	 * @return whether none is left
	 */
	boolean leave(MonoSink<PlainReply> waiter) {
		this.waiters.remove(waiter);
		return this.waiters.isEmpty();
	}

	void reply(PlainReply reply) {
		this.waiters.forEach((w) -> w.success(reply));
	}

	void fail(RefusedException ex) {
		this.waiters.forEach((w) -> w.error(ex));
	}

}
