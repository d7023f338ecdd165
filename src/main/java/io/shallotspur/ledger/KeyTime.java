package io.shallotspur.ledger;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Extracts the timestamp from an idempotency key. A key with a timestamp can be
 * recognised as expired after its entry was dropped, so the request is refused instead of
 * being run again. Supported formats are UUID version 7, ULID, and a Unix time of 13
 * digits in milliseconds followed by a hyphen and at least one more character.
 */
public final class KeyTime {

	/**
	 * Value for a key without a timestamp.
	 */
	public static final long NONE = -1;

	private static final Pattern UUID_V7 = Pattern
		.compile("([0-9a-fA-F]{8})-([0-9a-fA-F]{4})-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");

	private static final Pattern ULID = Pattern.compile("([0-7][0-9A-HJKMNP-TV-Z]{9})[0-9A-HJKMNP-TV-Z]{16}");

	private static final Pattern MILLIS_PREFIX = Pattern.compile("([0-9]{13})-.+");

	private static final String CROCKFORD_ALPHABET = "0123456789ABCDEFGHJKMNPQRSTVWXYZ";

	private KeyTime() {
	}

	/**
	 * Extracts the timestamp of a key.
	 * @param key the caller's key
	 * @return the Unix time in milliseconds, or {@link #NONE}
	 */
	public static long of(String key) {
		Matcher matcher = UUID_V7.matcher(key);
		if (matcher.matches()) {
			return Long.parseLong(matcher.group(1) + matcher.group(2), 16);
		}
		matcher = MILLIS_PREFIX.matcher(key);
		if (matcher.matches()) {
			return Long.parseLong(matcher.group(1));
		}
		matcher = ULID.matcher(key);
		return matcher.matches() ? decodeCrockford(matcher.group(1)) : NONE;
	}

	private static long decodeCrockford(String text) {
		return text.chars().mapToLong(CROCKFORD_ALPHABET::indexOf).reduce(0, (a, b) -> (a << 5) | b);
	}

}
