package io.shallotspur.adapter.http;

import java.io.IOException;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufHolder;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import reactor.netty.NettyPipeline;

/**
 * Fails calls whose response is delimited by the end of the connection, and whose server
 * closes it before it has read the request: a half-close looks like the end of a whole
 * response, and the reset that follows it is not reported. Confined to the connection's
 * event loop.
 * <p>
 * Invariant: a response without length or chunks to a request with a body ends only once
 * the request was written and the server has not reset the connection.
 */
final class UnreadRequests {

	private long bodyBytes;

	private boolean written;

	private boolean endsWithConnection;

	private boolean unverified;

	private boolean failed;

	private UnreadRequests() {
	}

	/**
	 * Adds the check to the connection of a client of HTTP/1.1.
	 * @param p the pipeline, which has the client's decoder
	 */
	static void install(ChannelPipeline p) {
		UnreadRequests r = new UnreadRequests();
		p.addBefore(NettyPipeline.HttpCodec, null, r.new Ends());
		p.addAfter(NettyPipeline.HttpCodec, null, r.new Messages());
	}

	private boolean isUnread() {
		return this.endsWithConnection && !this.failed && (!this.written || this.unverified);
	}

	/**
	 * Sees the half-close of the server before the decoder takes it for the end of the
	 * response.
	 */
	private final class Ends extends ChannelInboundHandlerAdapter {

		@Override
		public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
			if (event != ChannelInputShutdownEvent.INSTANCE || !UnreadRequests.this.endsWithConnection) {
				ctx.fireUserEventTriggered(event);
				return;
			}
			UnreadRequests.this.unverified = true;
			if (UnreadRequests.this.written) {
				OrderlyEnd.verify(ctx, () -> UnreadRequests.this.bodyBytes, (whole) -> close(ctx, whole));
			}
			else {
				close(ctx, false);
			}
		}

		private void close(ChannelHandlerContext ctx, boolean whole) {
			UnreadRequests.this.unverified = !whole;
			ctx.close();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable ex) {
			UnreadRequests.this.failed = true;
			ctx.fireExceptionCaught(ex);
		}

		@Override
		public void channelInactive(ChannelHandlerContext ctx) {
			if (isUnread()) {
				ctx.fireExceptionCaught(new IOException("The response ended before the request was read."));
			}
			ctx.fireChannelInactive();
		}

	}

	/**
	 * Sees the requests and responses.
	 */
	private final class Messages extends ChannelDuplexHandler {

		@Override
		public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
			if (msg instanceof HttpRequest) {
				begin();
			}
			UnreadRequests.this.bodyBytes += bodyBytes(msg);
			if (msg instanceof LastHttpContent) {
				promise.addListener((f) -> UnreadRequests.this.written = f.isSuccess());
			}
			ctx.write(msg, promise);
		}

		private void begin() {
			UnreadRequests.this.bodyBytes = 0;
			UnreadRequests.this.written = false;
			UnreadRequests.this.endsWithConnection = false;
		}

		private static int bodyBytes(Object msg) {
			if (msg instanceof ByteBufHolder h) {
				return h.content().readableBytes();
			}
			return (msg instanceof ByteBuf b) ? b.readableBytes() : 0;
		}

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object msg) {
			if (msg instanceof HttpResponse r && requestHasBody() && endsWithConnection(r)) {
				UnreadRequests.this.endsWithConnection = true;
				ctx.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
			}
			ctx.fireChannelRead(msg);
		}

		// The last part of a request without a body is written before a response arrives.
		private boolean requestHasBody() {
			return UnreadRequests.this.bodyBytes > 0 || !UnreadRequests.this.written;
		}

		private static boolean endsWithConnection(HttpResponse r) {
			return WholeResponses.endsWithConnection(r.status().code(), r.headers());
		}

	}

}
