package io.shallotspur.platform;

import java.io.ByteArrayOutputStream;
import java.util.function.IntConsumer;

import io.netty.buffer.ByteBuf;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/**
 * The queue of the parts of a response's body that its connection has not taken yet.
 * Confined to the event loop.
 * <p>
 * Each buffer that waits takes memory besides its bytes, many times as much as a part of
 * a few bytes. Small parts are therefore merged while a connection is behind; the bytes
 * alone would not tell what is held.
 * <p>
 * Invariants: of the buffers that wait here or in the connection, at most
 * {@link #MAX_SMALL_BUFFERS} and the framing of further ones are smaller than
 * {@link #MERGED_BYTES}; parts are merged only behind buffers that wait, and passed on
 * when most of those are written.
 */
final class ChunkQueue {

	private static final int MAX_SMALL_BUFFERS = 64;

	private static final int MERGED_BYTES = 16 << 10;

	private final Sinks.Many<ByteBuf> buffers = Sinks.many().unicast().onBackpressureBuffer();

	private final PendingWrites written;

	private final IntConsumer releaseListener;

	private ByteArrayOutputStream merged = new ByteArrayOutputStream();

	private int waiting;

	/**
	 * Creates an empty queue.
	 * @param written counts what the connection has taken over and not written
	 * @param releaseListener called with the number of bytes that the connection has
	 * taken or dropped
	 */
	ChunkQueue(PendingWrites written, IntConsumer releaseListener) {
		this.written = written;
		this.releaseListener = releaseListener;
	}

	Flux<ByteBuf> buffers() {
		return this.buffers.asFlux();
	}

	void add(byte[] part) {
		if (part.length >= MERGED_BYTES || !isBehind()) {
			flushMerged();
			emit(part);
		}
		else {
			this.merged.writeBytes(part);
			if (this.merged.size() >= MERGED_BYTES) {
				flushMerged();
			}
		}
	}

	void complete() {
		flushMerged();
		this.buffers.tryEmitComplete();
	}

	private void flushMerged() {
		if (this.merged.size() > 0) {
			byte[] bytes = this.merged.toByteArray();
			this.merged = new ByteArrayOutputStream();
			emit(bytes);
		}
	}

	private void emit(byte[] bytes) {
		this.waiting++;
		this.buffers.tryEmitNext(new CountedBuffer(bytes, () -> onReleased(bytes.length)));
	}

	private void onReleased(int bytes) {
		this.waiting--;
		this.releaseListener.accept(bytes);
	}

	/**
	 * Passes on what was merged if the connection is no longer behind. Must be called
	 * whenever it has written something.
	 */
	void resume() {
		if (!isBehind()) {
			flushMerged();
		}
	}

	private boolean isBehind() {
		return this.waiting + this.written.buffers() >= MAX_SMALL_BUFFERS;
	}

}
