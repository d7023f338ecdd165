package io.shallotspur.node;

import java.util.Optional;

/**
 * Names a stream at the engines. It says which life of which entry VM started it, so that
 * the streams of a dead one can be found. Immutable.
 *
 * @param vm the entry VM
 * @param incarnation rises with each start of the VM
 * @param number unique within the incarnation
 */
public record StreamId(String vm, long incarnation, long number) {

	private static final char SEPARATOR = '~';

	/**
	 * Reads a stream id.
	 * @param text the form made by {@link #toString()}
	 * @return the id, or empty if another program made it
	 */
	public static Optional<StreamId> parse(String text) {
		int last = text.lastIndexOf(SEPARATOR);
		int first = (last > 0) ? text.lastIndexOf(SEPARATOR, last - 1) : -1;
		if (first <= 0) {
			return Optional.empty();
		}
		try {
			long incarnation = Long.parseLong(text.substring(first + 1, last));
			long number = Long.parseLong(text.substring(last + 1));
			return Optional.of(new StreamId(text.substring(0, first), incarnation, number));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	@Override
	public String toString() {
		return this.vm + SEPARATOR + this.incarnation + SEPARATOR + this.number;
	}

}
