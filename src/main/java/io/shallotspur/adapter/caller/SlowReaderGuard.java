package io.shallotspur.adapter.caller;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Closes the connection of a caller that stopped reading. Without it such a caller would
 * hold engine memory until its deadline; it shows as streams that make no progress. The
 * timer runs only while the write buffer is full, so tokens cost nothing here. Confined
 * to the thread of one connection.
 */
final class SlowReaderGuard extends ChannelInboundHandlerAdapter {

	private final long stallMs;

	private @Nullable ScheduledFuture<?> timer;

	SlowReaderGuard(long stallMs) {
		this.stallMs = stallMs;
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) throws Exception {
		if (ctx.channel().isWritable()) {
			cancel();
		}
		else if (this.timer == null) {
			this.timer = ctx.executor().schedule(() -> cutOff(ctx), this.stallMs, TimeUnit.MILLISECONDS);
		}
		super.channelWritabilityChanged(ctx);
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) throws Exception {
		cancel();
		super.channelInactive(ctx);
	}

	private void cutOff(ChannelHandlerContext ctx) {
		Logger.info("[caller] A caller that takes no data is cut off.");
		ctx.close();
	}

	private void cancel() {
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

}
