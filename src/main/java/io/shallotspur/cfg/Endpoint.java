package io.shallotspur.cfg;

import java.util.Optional;

/**
 * An IP number or host name with a port. Immutable.
 *
 * @param host the host, never empty
 * @param port from 0 (any free port) to 65535
 */
public record Endpoint(String host, int port) {

	private static final int MAX_PORT = 65535;

	/**
	 * Reads the form {@code host:port}; an IPv6 number stands in brackets.
	 * @param text the text
	 * @return the endpoint, or empty if the text has another form
	 */
	public static Optional<Endpoint> parse(String text) {
		int i = text.lastIndexOf(':');
		if (i <= 0 || i == text.length() - 1) {
			return Optional.empty();
		}
		try {
			int port = Integer.parseInt(text.substring(i + 1));
			if (port < 0 || port > MAX_PORT) {
				return Optional.empty();
			}
			return Optional.of(new Endpoint(text.substring(0, i), port));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
