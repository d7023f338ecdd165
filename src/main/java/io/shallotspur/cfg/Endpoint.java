package io.shallotspur.cfg;

import java.util.Optional;

import io.shallotspur.util.toml.TomlTable;

/**
 * An IP number or host name with a port. Immutable.
 *
 * @param host the host, never empty
 * @param port from 0 (any free port) to 65535
 */
public record Endpoint(String host, int port) {

	private static final int DELETE = 0x7f;

	private static final int MAX_PORT = 65535;

	/**
	 * Reads the form {@code host:port}; an IPv6 number stands in brackets.
	 * @param text the text
	 * @return the endpoint, or empty if the text has another form
	 */
	public static Optional<Endpoint> parse(String text) {
		int i = text.lastIndexOf(':');
		if (i <= 0 || i == text.length() - 1 || text.chars().anyMatch(Endpoint::isBlankOrControl)) {
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

	private static boolean isBlankOrControl(int c) {
		return c <= ' ' || c == DELETE;
	}

	/**
	 * Reads an endpoint that must be there.
	 * @param table the table it stands in; gets a problem if it is missing or malformed
	 * @param key its key
	 * @return the endpoint, or a stand-in after a problem
	 */
	public static Endpoint read(TomlTable table, String key) {
		String s = table.text(key);
		Endpoint none = new Endpoint("0.0.0.0", 0);
		if (s.isEmpty()) {
			return none;
		}
		return parse(s).orElseGet(() -> {
			table.problem(key, "\"" + s + "\" is not an address", "host:port");
			return none;
		});
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
