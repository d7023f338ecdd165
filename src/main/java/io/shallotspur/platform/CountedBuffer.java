package io.shallotspur.platform;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;

/**
 * A buffer that reports once that its bytes have been passed on or dropped. Its reference
 * count is thread-safe, as that of all buffers; the report is made by whoever releases it
 * last, which is the event loop.
 */
final class CountedBuffer extends UnpooledHeapByteBuf {

	private final Runnable released;

	CountedBuffer(byte[] bytes, Runnable released) {
		super(UnpooledByteBufAllocator.DEFAULT, bytes, bytes.length);
		this.released = released;
	}

	@Override
	protected void deallocate() {
		super.deallocate();
		this.released.run();
	}

}
