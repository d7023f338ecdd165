package io.shallotspur.adapter.http;

import java.io.IOException;
import java.util.Map;
import java.util.regex.Pattern;

import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpResponse;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;

/**
 * Fails calls whose response head contains the beginning of another response: a server
 * has sent part of a head, and then a whole response. The decoder takes both for one
 * head, with the status of the first and the fields of the second. Stateless.
 */
@Sharable
public final class JoinedHeads extends ChannelInboundHandlerAdapter {

	private static final JoinedHeads INSTANCE = new JoinedHeads();

	private static final String VERSION_PREFIX = "HTTP/";

	private static final Pattern STATUS_LINE = Pattern.compile(VERSION_PREFIX + "\\d\\.\\d \\d{3}");

	private JoinedHeads() {
	}

	/**
	 * Installs the check on all connections of a client.
	 * @param client the client
	 * @return the client with the check; its calls signal an {@link IOException} instead
	 * of such a response, and their connections are closed
	 */
	public static HttpClient reject(HttpClient client) {
		return client
			.doOnChannelInit((o, c, a) -> c.pipeline().addAfter(NettyPipeline.HttpCodec, null, JoinedHeads.INSTANCE));
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object msg) {
		if (msg instanceof HttpResponse r && r.decoderResult().isSuccess() && isJoined(r)) {
			r.setDecoderResult(DecoderResult.failure(new IOException("The head contains another response.")));
		}
		ctx.fireChannelRead(msg);
	}

	private static boolean isJoined(HttpResponse r) {
		if (containsStatusLine(r.status().reasonPhrase())) {
			return true;
		}
		for (Map.Entry<String, String> field : r.headers()) {
			if (containsStatusLine(field.getValue())) {
				return true;
			}
		}
		return false;
	}

	private static boolean containsStatusLine(String text) {
		return text.contains(VERSION_PREFIX) && STATUS_LINE.matcher(text).find();
	}

}
