package io.shallotspur.adapter.admin;

/**
 * Settings of the operators' HTTP. Immutable; {@link #toString()} leaves the token out.
 *
 * @param host the address to listen on
 * @param port the port, 0 for any free one
 * @param token the bearer token that operators present
 * @param maxBodyBytes the largest body that is read
 * @param timeoutMs time for a request to arrive whole, in milliseconds
 */
public record AdminSettings(String host, int port, String token, int maxBodyBytes, long timeoutMs) {

	private static final int DEFAULT_MAX_BODY = 256 << 10;

	private static final long DEFAULT_TIMEOUT_MS = 10_000;

	/**
	 * Creates settings with the default limits.
	 * @param host the address to listen on
	 * @param port the port, 0 for any free one
	 * @param token the bearer token that operators present
	 * @return the settings
	 */
	public static AdminSettings of(String host, int port, String token) {
		return new AdminSettings(host, port, token, DEFAULT_MAX_BODY, DEFAULT_TIMEOUT_MS);
	}

	@Override
	public String toString() {
		return "AdminSettings[" + this.host + ":" + this.port + "]";
	}

}
