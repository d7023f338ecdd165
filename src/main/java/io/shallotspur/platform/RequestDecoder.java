package io.shallotspur.platform;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;

import io.shallotspur.contract.BearerKey;
import io.shallotspur.exc.InputException;
import io.shallotspur.gateway.PromptInfo;
import io.shallotspur.gateway.RelayRequest;

/**
 * Decodes requests of callers. Stateless.
 */
final class RequestDecoder {

	// Bounds what one request can make a VM remember.
	private static final int MAX_SHARED_PARTS = 32;

	private static final Pattern PART_ID = Pattern.compile("[0-9a-f]{1,64}");

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
		String id = h.get(PlatformNames.REQUEST_ID);
		String host = h.get(HttpHeaderNames.HOST);
		if (id == null || id.isEmpty() || host == null || !target.startsWith("/")) {
			throw new InputException("The request has no id or host, or its path does not start with a slash.", target);
		}
		return new RelayRequest(id, method, target, host, PlatformNames.forwardedHeaders(h), body, remainingMs(h),
				prompt(h), sharedPromptParts(h), h.get(PlatformNames.LAST_EVENT_ID),
				h.get(PlatformNames.RESUMED_REQUEST), keyHash(h));
	}

	// A request with two Authorization headers has no customer, because another component
	// that reads it could pick the other key.
	private static @Nullable String keyHash(HttpHeaders h) {
		List<String> credentials = h.getAll(PlatformNames.AUTHORIZATION);
		return (credentials.size() == 1) ? BearerKey.hashCredentials(credentials.get(0)).orElse(null) : null;
	}

	private static long remainingMs(HttpHeaders h) throws InputException {
		String v = h.get(PlatformNames.REMAINING_MS);
		return (v != null) ? Math.max(0, (long) parseNumber(v, PlatformNames.REMAINING_MS)) : Long.MAX_VALUE;
	}

	private static @Nullable PromptInfo prompt(HttpHeaders h) throws InputException {
		String counts = h.get(PlatformNames.TOKEN_COUNTS);
		if (counts == null) {
			return null;
		}
		String[] c = counts.split(",");
		int promptTokens = (int) parseNumber(c[0], PlatformNames.TOKEN_COUNTS);
		int maxOutputTokens = (c.length > 1) ? (int) parseNumber(c[1], PlatformNames.TOKEN_COUNTS) : 0;
		String hint = h.get(PlatformNames.LENGTH_HINT);
		int expectedOutputTokens = (hint != null)
				? Math.min(maxOutputTokens, (int) parseNumber(hint, PlatformNames.LENGTH_HINT)) : maxOutputTokens;
		return new PromptInfo(promptTokens, maxOutputTokens, expectedOutputTokens);
	}

	// A part that is malformed is relayed, and only not recognized again.
	private static List<String> sharedPromptParts(HttpHeaders h) {
		String value = h.get(PlatformNames.PROMPT_PARTS);
		if (value == null) {
			return List.of();
		}
		String[] parts = value.split(",");
		return Arrays.stream(parts)
			.limit(Math.min(MAX_SHARED_PARTS, parts.length - 1))
			.map((p) -> p.split(":", 2)[0].strip().toLowerCase(Locale.ROOT))
			.filter((id) -> PART_ID.matcher(id).matches())
			.distinct()
			.toList();
	}

	private static double parseNumber(String v, String field) throws InputException {
		try {
			return Double.parseDouble(v.strip());
		}
		catch (NumberFormatException ex) {
			throw new InputException("\"" + v + "\" is not a number.", field, ex);
		}
	}

}
