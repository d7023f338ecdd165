package io.shallotspur.resume;

import java.util.Optional;

/**
 * Names a stream at the engines. It says which incarnation of which node started it, so
 * that the streams of a dead one can be found and cancelled. Immutable.
 *
 * @param vm the node
 * @param incarnation rises each time the node starts
 * @param sequence unique within the incarnation
 */
public record StreamId(String vm, long incarnation, long sequence) {

	private static final char SEPARATOR = '~';

	/**
	 * Reads the text form.
	 * @param text what {@link #toString()} returned
	 * @return the id, or empty if the text has another form
	 */
	public static Optional<StreamId> parse(String text) {
		int last = text.lastIndexOf(SEPARATOR);
		int first = (last > 0) ? text.lastIndexOf(SEPARATOR, last - 1) : -1;
		if (first <= 0) {
			return Optional.empty();
		}
		try {
			long incarnation = Long.parseLong(text.substring(first + 1, last));
			return Optional
				.of(new StreamId(text.substring(0, first), incarnation, Long.parseLong(text.substring(last + 1))));
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
