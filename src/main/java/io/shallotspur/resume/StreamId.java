package io.shallotspur.resume;

import java.util.Optional;

/**
 * Identifies a stream at the engines. It contains the entry VM and the incarnation that
 * started the stream, so that the streams of a failed incarnation can be found and
 * cancelled. Immutable.
 *
 * @param vm the name of the entry VM
 * @param incarnation increases each time the entry VM starts
 * @param sequence the number of the stream, unique within the incarnation
 */
public record StreamId(String vm, long incarnation, long sequence) {

	private static final char SEPARATOR = '~';

	/**
	 * Parses the text form.
	 * @param text the text form, as returned by {@link #toString()}
	 * @return the id, or empty if the text has a different format
	 */
	public static Optional<StreamId> parse(String text) {
		int sequenceSeparator = text.lastIndexOf(SEPARATOR);
		int incarnationSeparator = (sequenceSeparator > 0) ? text.lastIndexOf(SEPARATOR, sequenceSeparator - 1) : -1;
		if (incarnationSeparator <= 0) {
			return Optional.empty();
		}
		try {
			long incarnation = Long.parseLong(text.substring(incarnationSeparator + 1, sequenceSeparator));
			return Optional.of(new StreamId(text.substring(0, incarnationSeparator), incarnation,
					Long.parseLong(text.substring(sequenceSeparator + 1))));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	@Override
	public String toString() {
		return this.vm + SEPARATOR + this.incarnation + SEPARATOR + this.sequence;
	}

}
