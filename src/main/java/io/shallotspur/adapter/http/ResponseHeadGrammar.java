package io.shallotspur.adapter.http;

import io.netty.util.ByteProcessor;

/**
 * Checks the head of a response by the grammar of HTTP/1.1, byte by byte. Stops at the
 * last byte of the head or at the first malformed one. A line may end with a line feed
 * alone. Not thread-safe.
 */
final class ResponseHeadGrammar implements ByteProcessor {

	// Each zero stands for a digit, the first one of the status for 1 to 5.
	private static final String STATUS_LINE = "HTTP/1.0 000";

	private static final int STATUS_AT = STATUS_LINE.indexOf("000");

	private static final String NAME_SYMBOLS = "!#$%&'*+-.^_`|~";

	private static final char DELETE = 0x7f;

	private Part part = Part.STATUS_LINE;

	private int position;

	private boolean interim;

	/**
	 * Prepares for the first byte of a head.
	 */
	void reset() {
		this.part = Part.STATUS_LINE;
		this.position = 0;
	}

	/**
	 * Prepares for the first byte of a trailer section.
	 */
	void resetToFields() {
		this.part = Part.LINE;
	}

	/**
	 * Returns whether the last byte that was read is malformed.
	 * @return {@code true} if so
	 */
	boolean isMalformed() {
		return this.part == Part.MALFORMED;
	}

	/**
	 * Returns whether the head is that of an interim response (1xx), so that another one
	 * follows.
	 * @return {@code true} if so
	 */
	boolean isInterim() {
		return this.interim;
	}

	@Override
	public boolean process(byte value) {
		char c = (char) (value & 0xff);
		this.part = switch (this.part) {
			case STATUS_LINE -> afterStatusLineByte(c);
			case REASON -> isText(c) ? Part.REASON : lineEnd(c);
			case END_OF_LINE -> (c == '\n') ? Part.LINE : Part.MALFORMED;
			case LINE -> lineStart(c);
			case NAME -> afterName(c);
			case VALUE -> isText(c) ? Part.VALUE : lineEnd(c);
			case END_OF_HEAD -> (c == '\n') ? Part.WHOLE : Part.MALFORMED;
			case WHOLE, MALFORMED -> Part.MALFORMED;
		};
		return this.part != Part.WHOLE && this.part != Part.MALFORMED;
	}

	private Part afterStatusLineByte(char c) {
		int i = this.position++;
		if (i == STATUS_LINE.length()) {
			return (c == ' ') ? Part.REASON : lineEnd(c);
		}
		if (i == STATUS_AT) {
			this.interim = c == '1';
		}
		return fitsStatusLine(c, i) ? Part.STATUS_LINE : Part.MALFORMED;
	}

	private static boolean fitsStatusLine(char c, int i) {
		if (i == STATUS_AT) {
			return c >= '1' && c <= '5';
		}
		char expected = STATUS_LINE.charAt(i);
		return (expected == '0') ? isDigit(c) : c == expected;
	}

	private static boolean isText(char c) {
		return c == '\t' || (c >= ' ' && c != DELETE);
	}

	private static Part lineEnd(char c) {
		return switch (c) {
			case '\r' -> Part.END_OF_LINE;
			case '\n' -> Part.LINE;
			default -> Part.MALFORMED;
		};
	}

	private static Part lineStart(char c) {
		return switch (c) {
			case '\r' -> Part.END_OF_HEAD;
			case '\n' -> Part.WHOLE;
			default -> isNameChar(c) ? Part.NAME : Part.MALFORMED;
		};
	}

	private static Part afterName(char c) {
		if (c == ':') {
			return Part.VALUE;
		}
		return isNameChar(c) ? Part.NAME : Part.MALFORMED;
	}

	private static boolean isNameChar(char c) {
		boolean isAlphanumeric = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || isDigit(c);
		return isAlphanumeric || NAME_SYMBOLS.indexOf(c) >= 0;
	}

	private static boolean isDigit(char c) {
		return c >= '0' && c <= '9';
	}

	private enum Part {

		STATUS_LINE, REASON, END_OF_LINE, LINE, NAME, VALUE, END_OF_HEAD, WHOLE, MALFORMED

	}

}
