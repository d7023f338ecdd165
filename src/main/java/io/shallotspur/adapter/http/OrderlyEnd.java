package io.shallotspur.adapter.http;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;

/**
 * Finds out whether a server that has half-closed its connection has read the request. If
 * it has not, a reset follows the half-close, which no read reports: only a write fails.
 * Stateless.
 */
public final class OrderlyEnd {

	// In ms. If the server closes the connection, the reset follows at once.
	private static final long RESET_TIME_MS = 10;

	// In ms. A server that only half-closes the connection may reset it later.
	private static final long LONG_REQUEST_RESET_TIME_MS = 100;

	// In bytes. A shorter request has been received when the response begins.
	private static final long LONG_REQUEST_BYTES = 16 << 10;

	// Servers ignore an empty line behind a request.
	private static final byte[] EMPTY_LINE = { '\r', '\n' };

	private OrderlyEnd() {
	}

	/**
	 * Waits until a reset would have arrived, and writes an empty line. To be called when
	 * the server has half-closed the connection.
	 * @param ctx the context of a handler that sees bytes
	 * @param writtenBytes returns how many bytes of the request have been written; what
	 * is written meanwhile prolongs the wait
	 * @param callback called on the event loop, with {@code true} if the connection still
	 * takes bytes at once, and with {@code false} if it was reset or the server does not
	 * read
	 */
	public static void verify(ChannelHandlerContext ctx, LongSupplier writtenBytes, Consumer<Boolean> callback) {
		long bytes = writtenBytes.getAsLong();
		long ms = (bytes > LONG_REQUEST_BYTES) ? LONG_REQUEST_RESET_TIME_MS : RESET_TIME_MS;
		ctx.executor().schedule(() -> {
			if (writtenBytes.getAsLong() > bytes) {
				verify(ctx, writtenBytes, callback);
			}
			else {
				callback.accept(ctx.writeAndFlush(Unpooled.wrappedBuffer(EMPTY_LINE)).isSuccess());
			}
		}, ms, TimeUnit.MILLISECONDS);
	}

}
