package io.shallotspur.adapter.engine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import io.netty.buffer.ByteBuf;
import org.jspecify.annotations.Nullable;

import io.shallotspur.exc.EngineException;
import io.shallotspur.exc.EngineLostException;

/**
 * Cuts an event stream into events. Confined to one subscription.
 *
 * @param <T> what an event becomes
 */
final class SseDecoder<T> {

	private static final int FIRST_BYTES = 512;

	private static final int MAX_EVENT_BYTES = 1024 * 1024;

	private static final byte[] DATA = { 'd', 'a', 't', 'a', ':', ' ' };

	private final String worker;

	private final Parser<T> parser;

	private byte[] pending = new byte[FIRST_BYTES];

	private int length;

	// How many of the pending bytes were searched for the end of an event.
	private int searched;

	/**
	 * Creates a decoder.
	 * @param worker the worker that sends the stream
	 * @param parser reads the data of an event
	 */
	SseDecoder(String worker, Parser<T> parser) {
		this.worker = worker;
		this.parser = parser;
	}

	/**
	 * Takes bytes of the stream.
	 * @param in the bytes; they are read, not released
	 * @return the events that are complete now
	 * @throws EngineException if an event tells of a failure or has no end
	 */
	List<T> feed(ByteBuf in) throws EngineException {
		int n = in.readableBytes();
		if (this.length + n > MAX_EVENT_BYTES) {
			throw new EngineLostException("An event of the worker has no end.", this.worker);
		}
		if (this.length + n > this.pending.length) {
			this.pending = Arrays.copyOf(this.pending, Math.max(2 * this.pending.length, this.length + n));
		}
		in.readBytes(this.pending, this.length, n);
		this.length += n;
		return events();
	}

	private List<T> events() throws EngineException {
		List<T> out = new ArrayList<>(4);
		int start = 0;
		for (int i = Math.max(1, this.searched); i < this.length; i++) {
			if (this.pending[i] == '\n' && this.pending[i - 1] == '\n') {
				event(start, i - 1, out);
				start = i + 1;
				i++;
			}
		}
		System.arraycopy(this.pending, start, this.pending, 0, this.length - start);
		this.length -= start;
		this.searched = this.length;
		return out;
	}

	private void event(int from, int to, List<T> out) throws EngineException {
		if (to - from <= DATA.length || !Arrays.equals(this.pending, from, from + DATA.length, DATA, 0, DATA.length)) {
			return;
		}
		T t = this.parser.parse(this.pending, from + DATA.length, to);
		if (t != null) {
			out.add(t);
		}
	}

	/**
	 * Reads the data of one event.
	 *
	 * @param <T> what it becomes
	 */
	@FunctionalInterface
	interface Parser<T> {

		/**
		 * Reads the data.
		 * @param b holds the data; it changes after the call
		 * @param from where the data begins
		 * @param to where it ends
		 * @return what it becomes, or {@code null} to drop it
		 * @throws EngineException if it tells of a failure
		 */
		@Nullable T parse(byte[] b, int from, int to) throws EngineException;

	}

}
