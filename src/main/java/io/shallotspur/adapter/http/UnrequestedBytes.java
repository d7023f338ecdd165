package io.shallotspur.adapter.http;

import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;

/**
 * Closes connections of an HTTP/1.1 client on which the server sends bytes while no call
 * is outstanding, such as a second response to the last call: the next call would take
 * what follows for its own response. Confined to the connection's event loop.
 * <p>
 * Invariants: a call is outstanding from the moment its request is written until the end
 * of the final response is decoded; nothing of such bytes is passed on.
 */
public final class UnrequestedBytes {

	private final Consumer<Channel> listener;

	private boolean callOutstanding;

	private boolean finalResponse;

	private boolean closed;

	private UnrequestedBytes(Consumer<Channel> listener) {
		this.listener = listener;
	}

	/**
	 * Installs the handlers on all connections of a client. Not for clients that speak
	 * another protocol on a connection first.
	 * @param client the client
	 * @param listener called once for each connection that is closed, on its event loop
	 * @return the client with the handlers
	 */
	public static HttpClient closeOn(HttpClient client, Consumer<Channel> listener) {
		return client.doOnChannelInit((o, c, a) -> new UnrequestedBytes(listener).install(c.pipeline()));
	}

	private void install(ChannelPipeline p) {
		p.addBefore(NettyPipeline.HttpCodec, null, new Bytes());
		p.addAfter(NettyPipeline.HttpCodec, null, new Messages());
	}

	private void discard(ChannelHandlerContext ctx, Object msg) {
		ReferenceCountUtil.release(msg);
		if (!this.closed) {
			this.closed = true;
			this.listener.accept(ctx.channel());
			ctx.close();
		}
	}

	/**
	 * Sees what arrives, before it is decoded.
	 */
	private final class Bytes extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object msg) {
			if (!UnrequestedBytes.this.callOutstanding) {
				discard(ctx, msg);
				return;
			}
			ctx.fireChannelRead(msg);
		}

	}

	/**
	 * Sees the requests and responses, and what arrives in one piece with the end of a
	 * response.
	 */
	private final class Messages extends ChannelDuplexHandler {

		@Override
		public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
			if (msg instanceof HttpRequest) {
				UnrequestedBytes.this.callOutstanding = true;
			}
			ctx.write(msg, promise);
		}

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object msg) {
			if (UnrequestedBytes.this.closed || !UnrequestedBytes.this.callOutstanding) {
				discard(ctx, msg);
				return;
			}
			if (msg instanceof HttpResponse r) {
				UnrequestedBytes.this.finalResponse = r.status().codeClass() != HttpStatusClass.INFORMATIONAL;
			}
			if (msg instanceof LastHttpContent && UnrequestedBytes.this.finalResponse) {
				UnrequestedBytes.this.callOutstanding = false;
			}
			ctx.fireChannelRead(msg);
		}

	}

}
