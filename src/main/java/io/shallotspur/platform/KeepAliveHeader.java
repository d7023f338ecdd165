package io.shallotspur.platform;

import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Parses the idle timeout of a {@code Keep-Alive} header. Stateless.
 */
final class KeepAliveHeader {

	private static final String TIMEOUT = "timeout=";

	private static final long MS_PER_S = 1_000;

	private KeepAliveHeader() {
	}

	static OptionalLong idleTimeoutMs(HttpHeaders h) {
		String v = h.get("Keep-Alive");
		if (v == null) {
			return OptionalLong.empty();
		}
		for (String part : v.split(",")) {
			String p = part.strip();
			if (p.startsWith(TIMEOUT) && p.substring(TIMEOUT.length()).matches("\\d{1,9}")) {
				return OptionalLong.of(Long.parseLong(p.substring(TIMEOUT.length())) * MS_PER_S);
			}
		}
		return OptionalLong.empty();
	}

}
