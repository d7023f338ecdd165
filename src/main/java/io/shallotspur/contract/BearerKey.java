package io.shallotspur.contract;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Bearer tokens by which callers say whose customer they are. Only their hashes are kept
 * and compared, so that no key can be read from memory, a log or the time that a
 * comparison takes. Stateless.
 */
public final class BearerKey {

	// RFC 6750, section 2.1; the name of the scheme has no case.
	private static final Pattern CREDENTIALS = Pattern.compile("(?i:Bearer) +([A-Za-z0-9._~+/-]+=*) *");

	private BearerKey() {
	}

	/**
	 * Hashes a token.
	 * @param token the token
	 * @return its SHA-256 in lower-case hex
	 */
	public static String hash(String token) {
		try {
			byte[] d = MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(d);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every JDK has SHA-256", ex);
		}
	}

	/**
	 * Hashes the token of a caller's credentials.
	 * @param credentials the value of an {@code Authorization} field
	 * @return the hash, or empty if the value is not one bearer token
	 */
	public static Optional<String> hashCredentials(String credentials) {
		Matcher m = CREDENTIALS.matcher(credentials);
		return m.matches() ? Optional.of(hash(m.group(1))) : Optional.empty();
	}

}
