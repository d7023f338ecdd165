package io.shallotspur.contract;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses and hashes the bearer tokens that identify a customer. Only hashes are stored
 * and compared, so that no token can leak through memory, logs or the timing of
 * comparisons. Stateless.
 */
public final class BearerKey {

	// RFC 6750, section 2.1; the scheme name is case-insensitive.
	private static final Pattern CREDENTIALS = Pattern.compile("(?i:Bearer) +([A-Za-z0-9._~+/-]+=*) *");

	private BearerKey() {
	}

	/**
	 * Hashes a token.
	 * @param token the token
	 * @return its SHA-256 hash in lower-case hex
	 */
	public static String hash(String token) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest);
		}
		catch (NoSuchAlgorithmException ex) {
			// Every JDK provides SHA-256.
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

	/**
	 * Hashes the bearer token in the credentials of a request.
	 * @param credentials the value of the {@code Authorization} header
	 * @return the hash, or empty if the value is not exactly one well-formed bearer token
	 */
	public static Optional<String> hashCredentials(String credentials) {
		Matcher matcher = CREDENTIALS.matcher(credentials);
		return matcher.matches() ? Optional.of(hash(matcher.group(1))) : Optional.empty();
	}

}
