package io.shallotspur.adapter.tunnel;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import org.tinylog.Logger;

import io.shallotspur.adapter.http.OrderlyEnd;

/**
 * The side of a tunnel that faces the worker. Confined to the tunnel's event loop.
 * <p>
 * Invariant: the empty frame is sent only if the worker has half-closed the connection
 * and has not reset it. Without that frame, the other VM takes the response as
 * incomplete.
 */
final class TunnelWorkerHandler extends ChannelDuplexHandler {

	private final Channel tunnel;

	private long writtenBytes;

	TunnelWorkerHandler(Channel tunnel) {
		this.tunnel = tunnel;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object msg) {
		ByteBuf bytes = (ByteBuf) msg;
		this.tunnel.writeAndFlush(bytes).addListener((f) -> {
			if (f.isSuccess()) {
				ctx.channel().read();
			}
			else {
				ctx.close();
			}
		});
	}

	@Override
	public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
		this.writtenBytes += ((ByteBuf) msg).readableBytes();
		ctx.write(msg, promise);
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
		if (event == ChannelInputShutdownEvent.INSTANCE) {
			OrderlyEnd.verify(ctx, () -> this.writtenBytes, this::end);
		}
		ctx.fireUserEventTriggered(event);
	}

	private void end(boolean whole) {
		if (whole) {
			this.tunnel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
		}
		else {
			this.tunnel.close();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.tunnel.close();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable ex) {
		Logger.debug("[tunnel] worker connection failed worker={} seen=\"{}\"", ctx.channel().remoteAddress(),
				ex.toString());
		ctx.close();
	}

}
