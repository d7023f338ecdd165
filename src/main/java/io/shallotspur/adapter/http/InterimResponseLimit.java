package io.shallotspur.adapter.http;

import java.io.IOException;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Hides the interim responses (1xx) of a worker from the client, which takes all but 100
 * (Continue) for the final response and leaves that one to the next request on the
 * connection. Closes a connection to a worker that sends them without end, as the client
 * would read them until the deadline of the request. Confined to the connection's event
 * loop.
 */
final class InterimResponseLimit extends ChannelInboundHandlerAdapter {

	private static final int MAX_INTERIM_RESPONSES = 16;

	private int count;

	private boolean hides;

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object msg) {
		if (msg instanceof HttpResponse r) {
			boolean interim = isInterim(r);
			this.count = interim ? this.count + 1 : 0;
			this.hides = interim && !r.status().equals(HttpResponseStatus.CONTINUE);
		}
		if (this.count > MAX_INTERIM_RESPONSES) {
			ReferenceCountUtil.release(msg);
			fail(ctx);
		}
		else if (this.hides) {
			hide(ctx, msg);
		}
		else {
			ctx.fireChannelRead(msg);
		}
	}

	// One that is cut off is left to the client, which sees that its decoding failed.
	private static boolean isInterim(HttpResponse r) {
		return r.status().codeClass() == HttpStatusClass.INFORMATIONAL && r.decoderResult().isSuccess();
	}

	// The client has not received what it waits for, and reads no further by itself.
	private void hide(ChannelHandlerContext ctx, Object msg) {
		ReferenceCountUtil.release(msg);
		if (msg instanceof LastHttpContent) {
			this.hides = false;
			ctx.read();
		}
	}

	private static void fail(ChannelHandlerContext ctx) {
		if (ctx.channel().isActive()) {
			ctx.fireExceptionCaught(new IOException("The worker sends interim responses only."));
			ctx.close();
		}
	}

}
