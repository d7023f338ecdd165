package io.shallotspur.platform;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;

import io.shallotspur.contract.BearerKey;
import io.shallotspur.exc.InputException;
import io.shallotspur.gateway.PromptInfo;
import io.shallotspur.gateway.RelayRequest;

/**
 * Decodes callers' requests. Stateless.
 */
final class RequestDecoder {

	private RequestDecoder() {
	}

	/**
	 * Decodes a request.
	 * @param method the method
	 * @param target path and query as sent
	 * @param h the header fields
	 * @param body the whole body
	 * @return the request
	 * @throws InputException if a field that the platform requires is missing or
	 * malformed
	 */
	static RelayRequest decode(String method, String target, HttpHeaders h, byte[] body) throws InputException {
		String id = h.get(Names.REQUEST_ID);
		String host = h.get(HttpHeaderNames.HOST);
		if (id == null || id.isEmpty() || host == null || !target.startsWith("/")) {
			throw new InputException("The request names no id, host or path.", target);
		}
		return new RelayRequest(id, method, target, host, Names.relayed(h), body, waitMs(h), prompt(h),
				h.get(Names.LAST_EVENT), keyHash(h));
	}

	// Two keys name no customer: which of them counts, another reader of the request
	// could see otherwise.
	private static @Nullable String keyHash(HttpHeaders h) {
		List<String> l = h.getAll(Names.CREDENTIALS);
		return (l.size() == 1) ? BearerKey.hashCredentials(l.get(0)).orElse(null) : null;
	}

	private static long waitMs(HttpHeaders h) throws InputException {
		String v = h.get(Names.TIME_LEFT);
		return (v != null) ? Math.max(0, (long) number(v, Names.TIME_LEFT)) : Long.MAX_VALUE;
	}

	private static @Nullable PromptInfo prompt(HttpHeaders h) throws InputException {
		String counts = h.get(Names.TOKEN_COUNTS);
		if (counts == null) {
			return null;
		}
		String[] c = counts.split(",");
		int in = (int) number(c[0], Names.TOKEN_COUNTS);
		int out = (c.length > 1) ? (int) number(c[1], Names.TOKEN_COUNTS) : 0;
		String hint = h.get(Names.LENGTH_HINT);
		int likely = (hint != null) ? Math.min(out, (int) number(hint, Names.LENGTH_HINT)) : out;
		return new PromptInfo(in, out, likely);
	}

	private static double number(String v, String field) throws InputException {
		try {
			return Double.parseDouble(v.strip());
		}
		catch (NumberFormatException ex) {
			throw new InputException("\"" + v + "\" is not a number.", field, ex);
		}
	}

}
