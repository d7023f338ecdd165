package io.shallotspur.adapter.tunnel;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.tinylog.Logger;

/**
 * The side of a tunnel that faces the worker. Confined to the tunnel's event loop.
 */
final class TunnelWorkerHandler extends ChannelInboundHandlerAdapter {

	private final Channel tunnel;

	private boolean failed;

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

	// Without the empty frame, the other VM takes the response as incomplete.
	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		if (this.failed) {
			this.tunnel.close();
		}
		else {
			this.tunnel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable ex) {
		Logger.debug("[tunnel] worker connection failed worker={} seen=\"{}\"", ctx.channel().remoteAddress(),
				ex.toString());
		this.failed = true;
		ctx.close();
	}

}
