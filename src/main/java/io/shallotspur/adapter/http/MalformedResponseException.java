package io.shallotspur.adapter.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.buffer.ByteBuf;

/**
 * A server has sent a response that is malformed by the grammar of HTTP/1.1. Whether the
 * request was run is unknown.
 */
public final class MalformedResponseException extends IOException {

	private static final long serialVersionUID = 1L;

	private static final int MAX_SHOWN_BYTES = 64;

	private MalformedResponseException(String message) {
		super(message);
	}

	/**
	 * Creates an exception.
	 * @param bytes what was received
	 * @param end the index after the first byte that is malformed
	 * @return the exception, whose message shows the last bytes up to there
	 */
	static MalformedResponseException at(ByteBuf bytes, int end) {
		int begin = Math.max(bytes.readerIndex(), end - MAX_SHOWN_BYTES);
		String text = bytes.toString(begin, end - begin, StandardCharsets.ISO_8859_1);
		return new MalformedResponseException("The response is malformed at the end of: " + escaped(text));
	}

	/**
	 * Creates an exception.
	 * @param codings the transfer encodings of the response
	 * @return the exception, whose message shows the beginning of them
	 */
	static MalformedResponseException transferEncoding(List<String> codings) {
		String text = String.join(", ", codings);
		return new MalformedResponseException("The response has an unsupported transfer encoding: "
				+ escaped(text.substring(0, Math.min(MAX_SHOWN_BYTES, text.length()))));
	}

	private static String escaped(String text) {
		StringBuilder shown = new StringBuilder();
		text.chars().forEach((c) -> shown.append(isPlain(c) ? String.valueOf((char) c) : String.format("\\x%02x", c)));
		return shown.toString();
	}

	private static boolean isPlain(int c) {
		return c >= ' ' && c <= '~' && c != '"' && c != '\\';
	}

}
