package io.shallotspur.adapter.caller;

import java.io.ByteArrayOutputStream;

import io.shallotspur.node.RefusedException;
import io.shallotspur.outcome.RefusalCode;

/**
 * Gathers the body of one request up to a limit. Not thread-safe.
 * <p>
 * A body over the limit is read on and thrown away, up to {@link #LINGER_BYTES} more. A
 * server that answers and closes while its caller still sends makes the caller's system
 * reset the connection, and the caller sees a broken connection instead of the refusal;
 * it would then send the same body again. Memory is never held for what is thrown away.
 */
final class BodyCollector {

	static final long LINGER_BYTES = 4L << 20;

	private final int limit;

	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

	private long seen;

	BodyCollector(int limit) {
		this.limit = limit;
	}

	/**
	 * Takes the next part.
	 * @param part the bytes
	 * @throws RefusedException if there is no use in reading on
	 */
	void add(byte[] part) throws RefusedException {
		this.seen += part.length;
		if (this.seen <= this.limit) {
			this.bytes.writeBytes(part);
		}
		else {
			this.bytes.reset();
			checkLinger(this.seen);
		}
	}

	/**
	 * Takes the length that the caller declared.
	 * @param length the length in bytes, or 0
	 * @throws RefusedException if there is no use in reading at all
	 */
	void declared(long length) throws RefusedException {
		checkLinger(length);
	}

	/**
	 * Returns the body once it is whole.
	 * @return the body
	 * @throws RefusedException if it is over the limit
	 */
	byte[] whole() throws RefusedException {
		if (this.seen > this.limit) {
			throw tooLarge();
		}
		return this.bytes.toByteArray();
	}

	private void checkLinger(long length) throws RefusedException {
		if (length > this.limit + LINGER_BYTES) {
			throw tooLarge();
		}
	}

	private RefusedException tooLarge() {
		return RefusedException.notRun(RefusalCode.BODY_TOO_LARGE, "The body is larger than " + this.limit + " bytes.");
	}

}
