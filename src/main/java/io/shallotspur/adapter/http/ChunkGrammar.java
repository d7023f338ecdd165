package io.shallotspur.adapter.http;

import io.netty.buffer.ByteBuf;

/**
 * Checks a chunked body where the decoder is lenient: the decoder reads the size of a
 * chunk up to the first blank or control byte and ignores the rest of the line. Not
 * thread-safe.
 */
final class ChunkGrammar {

	private static final int HEX = 16;

	private final ResponseHeadGrammar trailers = new ResponseHeadGrammar();

	private Part part = Part.SIZE_START;

	// The bytes of the current chunk that have not been received.
	private long remaining;

	/**
	 * Prepares for the first byte of a body.
	 */
	void reset() {
		this.part = Part.SIZE_START;
		this.remaining = 0;
	}

	/**
	 * Returns whether the last byte that was read is malformed.
	 * @return {@code true} if so
	 */
	boolean isMalformed() {
		return this.part == Part.MALFORMED;
	}

	/**
	 * Returns whether the body has ended.
	 * @return {@code true} if so
	 */
	boolean isWhole() {
		return this.part == Part.WHOLE;
	}

	/**
	 * Reads on, up to the end of the body or its first byte that is malformed.
	 * @param bytes what was received
	 * @param from the index of the first byte
	 * @return the index after the last byte that was read
	 */
	int read(ByteBuf bytes, int from) {
		int i = from;
		while (i < bytes.writerIndex() && !isWhole() && !isMalformed()) {
			i = switch (this.part) {
				case DATA -> skipData(bytes, i);
				case TRAILERS -> readTrailers(bytes, i);
				default -> {
					this.part = next((char) bytes.getUnsignedByte(i));
					yield i + 1;
				}
			};
		}
		return i;
	}

	private int skipData(ByteBuf bytes, int from) {
		int n = (int) Math.min(this.remaining, bytes.writerIndex() - from);
		this.remaining -= n;
		if (this.remaining == 0) {
			this.part = Part.AFTER_DATA;
		}
		return from + n;
	}

	private int readTrailers(ByteBuf bytes, int from) {
		int stop = bytes.forEachByte(from, bytes.writerIndex() - from, this.trailers);
		if (stop < 0) {
			return bytes.writerIndex();
		}
		this.part = this.trailers.isMalformed() ? Part.MALFORMED : Part.WHOLE;
		return stop + 1;
	}

	private Part next(char c) {
		return switch (this.part) {
			case SIZE_START -> isHex(c) ? addDigit(c) : Part.MALFORMED;
			case SIZE -> isHex(c) ? addDigit(c) : afterSize(c);
			case PADDING -> afterSize(c);
			case EXTENSION -> (c == '\r') ? Part.END_OF_SIZE : Part.EXTENSION;
			case END_OF_SIZE -> (c == '\n') ? afterSizeLine() : Part.MALFORMED;
			case AFTER_DATA -> (c == '\r') ? Part.END_OF_DATA : Part.MALFORMED;
			case END_OF_DATA -> (c == '\n') ? Part.SIZE_START : Part.MALFORMED;
			case DATA, TRAILERS, WHOLE, MALFORMED -> Part.MALFORMED;
		};
	}

	private static boolean isHex(char c) {
		return Character.digit(c, HEX) >= 0;
	}

	private Part addDigit(char c) {
		this.remaining = this.remaining * HEX + Character.digit(c, HEX);
		return (this.remaining <= Integer.MAX_VALUE) ? Part.SIZE : Part.MALFORMED;
	}

	// Some servers pad the size with blanks.
	private static Part afterSize(char c) {
		return switch (c) {
			case ' ', '\t' -> Part.PADDING;
			case ';' -> Part.EXTENSION;
			case '\r' -> Part.END_OF_SIZE;
			default -> Part.MALFORMED;
		};
	}

	private Part afterSizeLine() {
		if (this.remaining > 0) {
			return Part.DATA;
		}
		this.trailers.resetToFields();
		return Part.TRAILERS;
	}

	private enum Part {

		SIZE_START, SIZE, PADDING, EXTENSION, END_OF_SIZE, DATA, AFTER_DATA, END_OF_DATA, TRAILERS, WHOLE, MALFORMED

	}

}
