package io.shallotspur.adapter.peer;

import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts what crosses the links, length prefixes included, by type number. Thread-safe.
 */
public final class PeerTraffic {

	private static final int TYPES = 128;

	private static final int FRAME_OVERHEAD = 4;

	private final AtomicLongArray bytesOut = new AtomicLongArray(TYPES);

	private final AtomicLongArray bytesIn = new AtomicLongArray(TYPES);

	private final AtomicLongArray messagesOut = new AtomicLongArray(TYPES);

	private final AtomicLongArray messagesIn = new AtomicLongArray(TYPES);

	private final LongAdder dropped = new LongAdder();

	private final LongAdder rejected = new LongAdder();

	PeerTraffic() {
	}

	void sent(int type, int bytes) {
		int t = slot(type);
		this.bytesOut.addAndGet(t, bytes + FRAME_OVERHEAD);
		this.messagesOut.incrementAndGet(t);
	}

	void received(int type, int bytes) {
		int t = slot(type);
		this.bytesIn.addAndGet(t, bytes + FRAME_OVERHEAD);
		this.messagesIn.incrementAndGet(t);
	}

	void dropped() {
		this.dropped.increment();
	}

	void rejected() {
		this.rejected.increment();
	}

	/**
	 * Returns the bytes sent.
	 * @param fromType the first type number; 0 stands for the frames of the links
	 * themselves
	 * @param toType the last type number, at most 127
	 * @return bytes since the start
	 */
	public long bytesOut(int fromType, int toType) {
		return sum(this.bytesOut, fromType, toType);
	}

	/**
	 * Returns the bytes received.
	 * @param fromType the first type number
	 * @param toType the last type number, at most 127
	 * @return bytes since the start
	 */
	public long bytesIn(int fromType, int toType) {
		return sum(this.bytesIn, fromType, toType);
	}

	/**
	 * Returns the messages sent.
	 * @param fromType the first type number
	 * @param toType the last type number, at most 127
	 * @return messages since the start
	 */
	public long messagesOut(int fromType, int toType) {
		return sum(this.messagesOut, fromType, toType);
	}

	/**
	 * Returns the messages received.
	 * @param fromType the first type number
	 * @param toType the last type number, at most 127
	 * @return messages since the start
	 */
	public long messagesIn(int fromType, int toType) {
		return sum(this.messagesIn, fromType, toType);
	}

	/**
	 * Returns how many messages were not sent because a send queue was full.
	 * @return messages since the start
	 */
	public long droppedMessages() {
		return this.dropped.sum();
	}

	/**
	 * Returns how many links were closed for a broken handshake or a broken frame.
	 * @return links since the start
	 */
	public long rejectedLinks() {
		return this.rejected.sum();
	}

	private static int slot(int type) {
		return (type >= 0 && type < TYPES) ? type : 0;
	}

	private static long sum(AtomicLongArray a, int from, int to) {
		long s = 0;
		for (int i = from; i <= to; i++) {
			s += a.get(i);
		}
		return s;
	}

}
