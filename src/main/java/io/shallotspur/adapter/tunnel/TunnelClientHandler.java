package io.shallotspur.adapter.tunnel;

import java.io.IOException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import org.jspecify.annotations.Nullable;

/**
 * Opens a tunnel on a connection to another VM and hides it from the handlers after it:
 * these see a connection to the worker that becomes active once the tunnel is open.
 * Confined to the connection's event loop.
 */
final class TunnelClientHandler extends ChannelDuplexHandler {

	// In ms. The other VM answers within a few ms, or after its own connect timeout.
	private static final long OPEN_TIMEOUT_MS = TunnelServer.CONNECT_TIMEOUT_MS + 100;

	private final TunnelRequest request;

	private boolean open;

	private boolean ended;

	private @Nullable Future<?> timeout;

	TunnelClientHandler(TunnelRequest request) {
		this.request = request;
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) throws IOException {
		ctx.writeAndFlush(TunnelCodec.encode(this.request));
		this.timeout = ctx.executor()
			.schedule(() -> fail(ctx, TunnelStatus.NO_RESPONSE), OPEN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
		ctx.read();
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object msg) throws IOException {
		ByteBuf frame = (ByteBuf) msg;
		if (this.open && frame.isReadable()) {
			ctx.fireChannelRead(frame);
			return;
		}
		try {
			if (this.open) {
				this.ended = true;
				ctx.close();
			}
			else {
				onStatus(ctx, TunnelCodec.decodeStatus(frame));
			}
		}
		finally {
			frame.release();
		}
	}

	private void onStatus(ChannelHandlerContext ctx, TunnelStatus status) {
		if (status != TunnelStatus.CONNECTED) {
			fail(ctx, status);
			return;
		}
		cancelTimeout();
		this.open = true;
		ctx.fireChannelActive();
	}

	private void fail(ChannelHandlerContext ctx, TunnelStatus status) {
		if (this.open || this.ended) {
			return;
		}
		cancelTimeout();
		this.ended = true;
		ctx.fireExceptionCaught(new TunnelException(status, this.request.worker()));
		ctx.close();
	}

	// A response without a length ends with its connection. If the other VM ends, its
	// connections close as properly as a worker's, and half a response would look whole.
	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		if (this.open && !this.ended) {
			ctx.fireExceptionCaught(new IOException("The tunnel broke off."));
		}
		else {
			fail(ctx, TunnelStatus.UNAVAILABLE);
		}
		ctx.fireChannelInactive();
	}

	// A half-close by the other VM is none by the worker: the tunnel has broken off.
	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
		if (event == ChannelInputShutdownEvent.INSTANCE) {
			ctx.close();
			return;
		}
		ctx.fireUserEventTriggered(event);
	}

	// The whole body of a request may come in one buffer.
	@Override
	public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
		ByteBuf bytes = (ByteBuf) msg;
		while (bytes.readableBytes() > TunnelCodec.MAX_FRAME_BYTES) {
			ctx.write(bytes.readRetainedSlice(TunnelCodec.MAX_FRAME_BYTES));
		}
		ctx.write(bytes, promise);
	}

	@Override
	public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
		cancelTimeout();
		this.ended = true;
		ctx.close(promise);
	}

	private void cancelTimeout() {
		if (this.timeout != null) {
			this.timeout.cancel(false);
		}
	}

}
