package io.shallotspur.adapter.http;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;

/**
 * Reports that a connection broke while a request was sent on it, before it is reported
 * as closed. Confined to the connection's event loop.
 * <p>
 * A reset is seen by the next read or write. Only a failed read is an error for the
 * handlers; after a failed write, the connection looks as if the other side had closed it
 * in order, and a response without length or chunks as if it were whole.
 */
final class FailedWrites extends ChannelOutboundHandlerAdapter {

	@Override
	public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
		ChannelPromise written = ctx.newPromise();
		written.addListener((f) -> {
			if (f.isSuccess()) {
				promise.trySuccess();
				return;
			}
			if (isBroken(f.cause())) {
				ctx.fireExceptionCaught(f.cause());
			}
			promise.tryFailure(f.cause());
		});
		ctx.write(msg, written);
	}

	// Not a connection that this side has closed. What was written behind the write that
	// failed has that failure as its cause.
	private static boolean isBroken(Throwable ex) {
		Throwable reason = (ex instanceof ClosedChannelException) ? ex.getCause() : ex;
		return reason instanceof IOException && !(reason instanceof ClosedChannelException);
	}

}
