package io.shallotspur.platform;

import java.io.IOException;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes a connection to a worker that sends interim responses (1xx) without end: the
 * client waits for the final one and would read them until the deadline of the request.
 * Confined to the connection's event loop.
 */
final class InterimResponseLimit extends ChannelInboundHandlerAdapter {

	private static final int MAX_INTERIM_RESPONSES = 16;

	private int count;

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object msg) {
		if (msg instanceof HttpResponse r) {
			boolean interim = r.status().codeClass() == HttpStatusClass.INFORMATIONAL;
			this.count = interim ? this.count + 1 : 0;
		}
		if (this.count <= MAX_INTERIM_RESPONSES) {
			ctx.fireChannelRead(msg);
			return;
		}
		ReferenceCountUtil.release(msg);
		if (ctx.channel().isActive()) {
			ctx.fireExceptionCaught(new IOException("The worker sends interim responses only."));
			ctx.close();
		}
	}

}
