package io.shallotspur.platform.soak;

import java.util.Arrays;
import java.util.Optional;

/**
 * The prompts of the soak, as their parts. All share the first part, half of them a
 * document with others; the last part is of each its own. Stateless.
 */
final class SoakPrompts {

	/** The field that lists the parts. */
	static final String PARTS = "X-Prompt-Prefix";

	private static final String FIRST = "f1a5:200,";

	private static final int DOCUMENTS = 8;

	private static final String CRASHING = "bad";

	private SoakPrompts() {
	}

	/**
	 * Returns the parts of a sound prompt.
	 * @param name the name of the request or of its stream
	 * @return the value of the field
	 */
	static String sound(String name) {
		int hash = name.hashCode();
		String document = (hash % 2 == 0) ? "" : "d0c" + Math.floorMod(hash >> 4, DOCUMENTS) + ":100,";
		return FIRST + document + own(name);
	}

	/**
	 * Returns the id of a part that crashes each worker that begins to write an answer to
	 * it.
	 * @param number tells it from others
	 * @return the id
	 */
	static String crashingPart(long number) {
		return CRASHING + Long.toHexString(number);
	}

	/**
	 * Returns the parts of a prompt with a part that crashes workers.
	 * @param part the id of that part
	 * @param name the name of the request
	 * @return the value of the field
	 */
	static String withCrashingPart(String part, String name) {
		return FIRST + part + ":100," + own(name);
	}

	private static String own(String name) {
		return "e" + Integer.toHexString(name.hashCode()) + ":600";
	}

	/**
	 * Finds the part that crashes workers.
	 * @param parts the value of the field
	 * @return the id of the part, or empty if there is none
	 */
	static Optional<String> findCrashingPart(String parts) {
		return Arrays.stream(parts.split(","))
			.map((p) -> p.split(":")[0])
			.filter((id) -> id.startsWith(CRASHING))
			.findAny();
	}

}
