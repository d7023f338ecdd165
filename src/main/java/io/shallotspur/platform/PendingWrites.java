package io.shallotspur.platform;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.util.AttributeKey;

/**
 * Counts the bytes that a connection has taken over and not yet passed to the kernel.
 * Confined to the event loop.
 */
final class PendingWrites extends ChannelOutboundHandlerAdapter {

	private static final AttributeKey<PendingWrites> KEY = AttributeKey.valueOf("shallotspur-pending-writes");

	private long bytes;

	private int buffers;

	private Runnable listener = () -> {
	};

	/**
	 * Starts to count the writes of a connection.
	 * @param c a new connection
	 */
	static void countOn(Channel c) {
		PendingWrites p = new PendingWrites();
		c.attr(KEY).set(p);
		c.pipeline().addFirst(p);
	}

	static PendingWrites of(Channel c) {
		return c.attr(KEY).get();
	}

	long bytes() {
		return this.bytes;
	}

	int buffers() {
		return this.buffers;
	}

	/**
	 * Sets what is run when bytes were written.
	 * @param task replaces the task of the previous response
	 */
	void onWritten(Runnable task) {
		this.listener = task;
	}

	@Override
	public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
		int n = (msg instanceof ByteBuf b) ? b.readableBytes() : 0;
		if (n == 0) {
			ctx.write(msg, promise);
			return;
		}
		this.bytes += n;
		this.buffers++;
		ctx.write(msg, promise.unvoid().addListener((f) -> {
			this.bytes -= n;
			this.buffers--;
			this.listener.run();
		}));
	}

}
