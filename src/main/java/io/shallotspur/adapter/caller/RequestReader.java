package io.shallotspur.adapter.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import reactor.core.publisher.Mono;
import reactor.core.publisher.SynchronousSink;
import reactor.netty.http.server.HttpServerRequest;

import io.shallotspur.node.CallerRequest;
import io.shallotspur.node.RefusedException;
import io.shallotspur.outcome.RefusalCode;

/**
 * Reads the callers' requests within limits. Immutable.
 */
final class RequestReader {

	static final String CLASS = "Shallotspur-Class";

	static final String KEY = "Idempotency-Key";

	static final String DEADLINE = "Shallotspur-Deadline-Ms";

	static final String RESUME = "Shallotspur-Resume";

	static final String LAST_EVENT = "Last-Event-ID";

	private static final String BEARER = "Bearer ";

	private final int maxBodyBytes;

	RequestReader(int maxBodyBytes) {
		this.maxBodyBytes = maxBodyBytes;
	}

	Mono<CallerRequest> read(HttpServerRequest req) {
		return Mono.defer(() -> {
			try {
				long deadline = number(req, DEADLINE, 0);
				return body(req)
					.map((b) -> new CallerRequest(bearer(req), header(req, CLASS), header(req, KEY), deadline, b));
			}
			catch (RefusedException ex) {
				return Mono.error(ex);
			}
		});
	}

	static String bearer(HttpServerRequest req) {
		String h = header(req, HttpHeaderNames.AUTHORIZATION.toString());
		return h.regionMatches(true, 0, BEARER, 0, BEARER.length()) ? h.substring(BEARER.length()).strip() : "";
	}

	static String header(HttpServerRequest req, String name) {
		String v = req.requestHeaders().get(name);
		return (v != null) ? v : "";
	}

	static long number(HttpServerRequest req, String name, long absent) throws RefusedException {
		String v = header(req, name);
		if (v.isEmpty()) {
			return absent;
		}
		try {
			long n = Long.parseLong(v);
			if (n >= 0) {
				return n;
			}
		}
		catch (NumberFormatException ex) {
			// Told to the caller below, as for a negative number.
		}
		throw RefusedException.notRun(RefusalCode.MALFORMED_REQUEST, name + " must be a whole number.");
	}

	private Mono<byte[]> body(HttpServerRequest req) throws RefusedException {
		BodyCollector c = new BodyCollector(this.maxBodyBytes);
		c.declared(number(req, HttpHeaderNames.CONTENT_LENGTH.toString(), 0));
		return req.receive()
			.asByteArray()
			.handle((byte[] b, SynchronousSink<byte[]> sink) -> collect(c, b, sink))
			.then(Mono.fromCallable(c::whole));
	}

	private static void collect(BodyCollector c, byte[] part, SynchronousSink<byte[]> sink) {
		try {
			c.add(part);
			sink.next(part);
		}
		catch (RefusedException ex) {
			sink.error(ex);
		}
	}

}
