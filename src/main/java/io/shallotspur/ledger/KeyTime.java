package io.shallotspur.ledger;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the time that a caller's key carries. A key that does can be recognised as old
 * after its entry is gone, so it is refused and not run again. Three forms are read: a
 * UUID of version 7, a ULID, and 13 digits of Unix time in milliseconds followed by a
 * hyphen and anything.
 */
public final class KeyTime {

	/**
	 * Stands for the time of a key that carries none.
	 */
	public static final long NONE = -1;

	private static final Pattern UUID_V7 = Pattern
		.compile("([0-9a-fA-F]{8})-([0-9a-fA-F]{4})-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");

	private static final Pattern ULID = Pattern.compile("([0-7][0-9A-HJKMNP-TV-Z]{9})[0-9A-HJKMNP-TV-Z]{16}");

	private static final Pattern MILLIS = Pattern.compile("([0-9]{13})-.+");

	private static final String CROCKFORD = "0123456789ABCDEFGHJKMNPQRSTVWXYZ";

	private KeyTime() {
	}

	/**
	 * Reads the time of a key.
	 * @param key the caller's key
	 * @return the Unix time in milliseconds, or {@link #NONE}
	 */
	public static long of(String key) {
		Matcher m = UUID_V7.matcher(key);
		if (m.matches()) {
			return Long.parseLong(m.group(1) + m.group(2), 16);
		}
		m = MILLIS.matcher(key);
		if (m.matches()) {
			return Long.parseLong(m.group(1));
		}
		m = ULID.matcher(key);
		return m.matches() ? crockford(m.group(1)) : NONE;
	}

	private static long crockford(String s) {
		return s.chars().mapToLong(CROCKFORD::indexOf).reduce(0, (a, b) -> (a << 5) | b);
	}

}
