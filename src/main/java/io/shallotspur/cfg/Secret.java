package io.shallotspur.cfg;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import io.shallotspur.exc.SettingsException;

/**
 * A password, key or token from the settings. Immutable. Its text form hides the value,
 * so that it cannot reach a log by way of the settings it is part of.
 */
public final class Secret {

	private static final String FILE = "file:";

	private static final String ENV = "env:";

	private final String value;

	private Secret(String value) {
		this.value = value;
	}

	/**
	 * Creates a secret from its value.
	 * @param value the value
	 * @return the secret
	 */
	public static Secret of(String value) {
		return new Secret(value);
	}

	/**
	 * Reads a secret as settings name it: {@code file:PATH} (relative to the settings
	 * file), {@code env:NAME}, or the value itself.
	 * @param text the text in the settings
	 * @param base the folder of the settings file
	 * @return the secret
	 * @throws SettingsException if the file or the variable is not there or is empty
	 */
	public static Secret resolve(String text, Path base) throws SettingsException {
		if (text.startsWith(FILE)) {
			return fromFile(base.resolve(text.substring(FILE.length())));
		}
		if (text.startsWith(ENV)) {
			return fromEnvironment(text.substring(ENV.length()));
		}
		return new Secret(text);
	}

	/**
	 * Returns the value.
	 * @return the value
	 */
	public String value() {
		return this.value;
	}

	/**
	 * Returns the value as bytes for use as a key.
	 * @return the value in UTF-8
	 */
	public byte[] bytes() {
		return this.value.getBytes(StandardCharsets.UTF_8);
	}

	@Override
	public String toString() {
		return "(hidden)";
	}

	private static Secret fromFile(Path file) throws SettingsException {
		try {
			String s = Files.readString(file).strip();
			if (s.isEmpty()) {
				throw new SettingsException("The secret file is empty.", file.toString());
			}
			return new Secret(s);
		}
		catch (IOException ex) {
			throw new SettingsException("The secret file cannot be read.", file.toString(), ex);
		}
	}

	private static Secret fromEnvironment(String name) throws SettingsException {
		String s = System.getenv(name);
		if (s == null || s.isEmpty()) {
			throw new SettingsException("The environment variable is not set.", name);
		}
		return new Secret(s);
	}

}
