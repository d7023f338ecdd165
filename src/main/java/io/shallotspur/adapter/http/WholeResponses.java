package io.shallotspur.adapter.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;

/**
 * Prevents that a partial, an interim or a malformed response is taken for a whole one.
 * Stateless.
 */
public final class WholeResponses {

	private WholeResponses() {
	}

	/**
	 * Adds what the HTTP client lacks for this.
	 * @param client the client
	 * @return the client with handlers for its connections
	 */
	public static HttpClient ensure(HttpClient client) {
		return client.doOnChannelInit((o, c, a) -> {
			ResponseSyntax.install(c.pipeline());
			UnreadRequests.install(c.pipeline());
			c.pipeline().addBefore(NettyPipeline.ReactiveBridge, null, new FailedWrites());
			c.pipeline().addBefore(NettyPipeline.ReactiveBridge, null, new InterimResponseLimit());
		});
	}

	/**
	 * Returns whether a response has a body but states neither its length nor chunks, so
	 * that its end cannot be told from a closed connection.
	 * @param status the status
	 * @param h the response headers
	 * @return {@code true} if it ends with its connection
	 */
	public static boolean endsWithConnection(int status, HttpHeaders h) {
		return hasBody(status) && !h.contains(HttpHeaderNames.CONTENT_LENGTH)
				&& !h.containsValue(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true);
	}

	static boolean hasBody(int status) {
		return !HttpStatusClass.INFORMATIONAL.contains(status) && status != HttpResponseStatus.NO_CONTENT.code()
				&& status != HttpResponseStatus.NOT_MODIFIED.code();
	}

}
