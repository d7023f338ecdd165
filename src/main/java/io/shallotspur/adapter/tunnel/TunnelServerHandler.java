package io.shallotspur.adapter.tunnel;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.Optional;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateEvent;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

import io.shallotspur.adapter.http.SilentConnections;

/**
 * The side of a tunnel that faces the VM that asked for it. Confined to the tunnel's
 * event loop.
 */
final class TunnelServerHandler extends ChannelInboundHandlerAdapter {

	private final TunnelServer server;

	private @Nullable Channel worker;

	private boolean requested;

	TunnelServerHandler(TunnelServer server) {
		this.server = server;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object msg) throws IOException {
		ByteBuf frame = (ByteBuf) msg;
		Channel w = this.worker;
		if (w != null) {
			w.writeAndFlush(frame).addListener((f) -> readNext(ctx.channel(), f.isSuccess()));
			return;
		}
		try {
			if (this.requested) {
				throw new IOException("The tunnel is not open yet.");
			}
			this.requested = true;
			open(ctx, TunnelCodec.decodeRequest(frame));
		}
		finally {
			frame.release();
		}
	}

	private static void readNext(Channel c, boolean written) {
		if (written) {
			c.read();
		}
		else {
			c.close();
		}
	}

	private void open(ChannelHandlerContext ctx, TunnelRequest request) throws IOException {
		Optional<InetSocketAddress> address = this.server.targets().address(request.worker());
		if (!this.server.accepts(request) || address.isEmpty()) {
			refuse(ctx, TunnelStatus.UNAVAILABLE);
			return;
		}
		ctx.channel().config().setAutoRead(false);
		SilentConnections.detect(new Bootstrap())
			.group(ctx.channel().eventLoop())
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TunnelServer.CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.AUTO_READ, false)
			.option(ChannelOption.ALLOW_HALF_CLOSURE, true)
			.handler(new TunnelWorkerHandler(ctx.channel()))
			.connect(address.get())
			.addListener((ChannelFutureListener) (f) -> onConnected(ctx, f));
	}

	private void onConnected(ChannelHandlerContext ctx, ChannelFuture f) throws IOException {
		if (!f.isSuccess()) {
			refuse(ctx, status(f.cause()));
			return;
		}
		Channel w = f.channel();
		if (!ctx.channel().isActive()) {
			w.close();
			return;
		}
		this.worker = w;
		ctx.writeAndFlush(TunnelCodec.encode(TunnelStatus.CONNECTED));
		ctx.read();
		w.read();
	}

	// A timeout is a ConnectException, too, but means that nothing has responded.
	private static TunnelStatus status(Throwable ex) {
		boolean refused = ex instanceof ConnectException && !(ex instanceof ConnectTimeoutException);
		return refused ? TunnelStatus.REFUSED : TunnelStatus.NO_RESPONSE;
	}

	private static void refuse(ChannelHandlerContext ctx, TunnelStatus status) throws IOException {
		ctx.writeAndFlush(TunnelCodec.encode(status)).addListener(ChannelFutureListener.CLOSE);
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		if (this.worker != null) {
			this.worker.close();
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
		if (event instanceof IdleStateEvent) {
			ctx.close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable ex) {
		Logger.debug("[tunnel] closed from={} seen=\"{}\"", ctx.channel().remoteAddress(), ex.toString());
		ctx.close();
	}

}
