package io.shallotspur.adapter.caller;

import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Subscription;
import reactor.core.CoreSubscriber;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Operators;

import io.shallotspur.node.AnswerPart;

/**
 * Turns an answer into buffers for one connection. All parts that arrive within one turn
 * of the connection's event loop go into one buffer, so that a read that brings many
 * tokens costs one write and one flush, and no token waits for a timer. Immutable.
 * <p>
 * A failure ends the stream with an event of its own, and never as an error.
 */
final class EventBatches extends Flux<ByteBuf> {

	/**
	 * Tokens that may wait here for a caller that reads slowly.
	 */
	private static final int PREFETCH = 256;

	private final Flux<AnswerPart> answer;

	private final CompletionFormat format;

	private final ByteBufAllocator alloc;

	private final Executor loop;

	/**
	 * Creates the buffers of an answer.
	 * @param answer the answer
	 * @param format writes its parts
	 * @param alloc gives the buffers
	 * @param loop runs tasks on the thread of the connection, after what is read now
	 */
	EventBatches(Flux<AnswerPart> answer, CompletionFormat format, ByteBufAllocator alloc, Executor loop) {
		this.answer = answer;
		this.format = format;
		this.alloc = alloc;
		this.loop = loop;
	}

	@Override
	public void subscribe(CoreSubscriber<? super ByteBuf> actual) {
		this.answer.subscribe(new Batcher(actual, this.format, this.alloc, this.loop));
	}

	/**
	 * Parts come on any one thread, buffers leave on the thread of the connection; the
	 * lock guards the buffer between the two.
	 */
	private static final class Batcher implements CoreSubscriber<AnswerPart>, Subscription, Runnable {

		private static final int BUFFER_BYTES = 512;

		private final CoreSubscriber<? super ByteBuf> actual;

		private final CompletionFormat format;

		private final ByteBufAllocator alloc;

		private final Executor loop;

		private final AtomicBoolean scheduled = new AtomicBoolean();

		private final AtomicLong requested = new AtomicLong();

		private final Object lock = new Object();

		private Subscription upstream = Operators.emptySubscription();

		private @Nullable ByteBuf pending;

		private int parts;

		private volatile boolean done;

		private volatile boolean cancelled;

		private boolean terminated;

		Batcher(CoreSubscriber<? super ByteBuf> actual, CompletionFormat format, ByteBufAllocator alloc,
				Executor loop) {
			this.actual = actual;
			this.format = format;
			this.alloc = alloc;
			this.loop = loop;
		}

		@Override
		public void onSubscribe(Subscription s) {
			this.upstream = s;
			this.actual.onSubscribe(this);
			s.request(PREFETCH);
		}

		@Override
		public void onNext(AnswerPart part) {
			synchronized (this.lock) {
				this.format.write(part, buffer());
				this.parts++;
			}
			schedule();
		}

		@Override
		public void onError(Throwable ex) {
			synchronized (this.lock) {
				this.format.writeError(CallerServer.refusal(ex), buffer());
			}
			this.done = true;
			schedule();
		}

		@Override
		public void onComplete() {
			synchronized (this.lock) {
				this.format.writeDone(buffer());
			}
			this.done = true;
			schedule();
		}

		@Override
		public void request(long n) {
			this.requested.accumulateAndGet(n, Operators::addCap);
			schedule();
		}

		@Override
		public void cancel() {
			this.cancelled = true;
			this.upstream.cancel();
			schedule();
		}

		@Override
		public void run() {
			this.scheduled.set(false);
			if (this.cancelled) {
				release();
				return;
			}
			boolean last = this.done;
			if (this.requested.get() > 0) {
				emit();
			}
			if (last && !this.terminated && isEmpty()) {
				this.terminated = true;
				this.actual.onComplete();
			}
		}

		private void schedule() {
			if (this.scheduled.compareAndSet(false, true)) {
				this.loop.execute(this);
			}
		}

		private void emit() {
			ByteBuf b;
			int n;
			synchronized (this.lock) {
				b = this.pending;
				n = this.parts;
				this.pending = null;
				this.parts = 0;
			}
			if (b != null) {
				this.requested.decrementAndGet();
				this.actual.onNext(b);
				this.upstream.request(Math.max(1, n));
			}
		}

		private void release() {
			synchronized (this.lock) {
				if (this.pending != null) {
					this.pending.release();
					this.pending = null;
				}
			}
		}

		private boolean isEmpty() {
			synchronized (this.lock) {
				return this.pending == null;
			}
		}

		private ByteBuf buffer() {
			ByteBuf b = this.pending;
			if (b == null) {
				b = this.alloc.buffer(BUFFER_BYTES);
				this.pending = b;
			}
			return b;
		}

	}

}
