package io.shallotspur.standin;

import java.util.function.BiFunction;

import org.reactivestreams.Publisher;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Repeats the id of a call in its answer, as services and engines do. Stateless.
 */
public final class CallEcho {

	private static final String FIELD = "Shallotspur-Call";

	private CallEcho() {
	}

	/**
	 * Adds the id to all answers of a handler.
	 * @param handler answers calls
	 * @return the handler with ids
	 */
	public static BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> on(
			BiFunction<? super HttpServerRequest, ? super HttpServerResponse, Publisher<Void>> handler) {
		return (req, res) -> {
			String id = req.requestHeaders().get(FIELD);
			if (id != null) {
				res.header(FIELD, id);
			}
			return handler.apply(req, res);
		};
	}

}
