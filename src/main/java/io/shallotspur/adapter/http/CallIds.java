package io.shallotspur.adapter.http;

import java.io.IOException;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.ReferenceCountUtil;
import org.tinylog.Logger;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;

/**
 * Ties answers to calls over connections that are kept. Thread-safe; what is known of a
 * connection is confined to its event loop.
 * <p>
 * Invariants: each sending has an id of its own in the field {@value #FIELD}. An answer
 * with another id reaches no call: the call ends with an {@link IOException} and the
 * connection is closed, as with {@link JoinedHeads} and {@link UnrequestedBytes}. An
 * answer without an id reaches its call only on a connection that has carried no other
 * call, and is the last one on it.
 */
public final class CallIds {

	/**
	 * The field in which a call has its id, and the answer repeats it.
	 */
	public static final String FIELD = "Shallotspur-Call";

	private final String prefix = UUID.randomUUID() + "-";

	private final AtomicLong count = new AtomicLong();

	private CallIds() {
	}

	/**
	 * Ties answers to the calls of a client.
	 * @param client the client
	 * @return the client whose answers are tied
	 */
	public static HttpClient tie(HttpClient client) {
		CallIds ids = new CallIds();
		HttpClient tied = client
			.doOnChannelInit((o, c, a) -> c.pipeline().addAfter(NettyPipeline.HttpCodec, null, ids.new Tie()));
		return UnrequestedBytes.closeOn(JoinedHeads.reject(tied), CallIds::logClosed);
	}

	private String next() {
		return this.prefix + this.count.incrementAndGet();
	}

	private static void logClosed(Channel c) {
		Logger.info("[calls] connection closed, as bytes came without a call connection={} worker-address={}",
				c.id().asShortText(), c.remoteAddress());
	}

	/**
	 * The calls of one connection.
	 */
	private final class Tie extends ChannelDuplexHandler {

		private String id = "";

		private boolean usedBefore;

		private boolean broken;

		@Override
		public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
			if (msg instanceof HttpRequest q) {
				this.usedBefore = !this.id.isEmpty();
				this.id = next();
				q.headers().set(FIELD, this.id);
			}
			ctx.write(msg, promise);
		}

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object msg) {
			if (!this.broken && msg instanceof HttpResponse r && !isAnswer(r)) {
				this.broken = true;
				ctx.fireExceptionCaught(new IOException("The answer does not belong to the call."));
				ctx.close();
			}
			if (this.broken) {
				ReferenceCountUtil.release(msg);
				return;
			}
			ctx.fireChannelRead(msg);
		}

		private boolean isAnswer(HttpResponse r) {
			boolean interim = r.status().codeClass() == HttpStatusClass.INFORMATIONAL;
			if (interim || r.decoderResult().isFailure()) {
				return true;
			}
			List<String> ids = r.headers().getAll(FIELD);
			if (!ids.isEmpty()) {
				return ids.equals(List.of(this.id));
			}
			r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			return !this.usedBefore;
		}

	}

}
