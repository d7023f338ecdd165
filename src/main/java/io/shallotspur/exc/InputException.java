package io.shallotspur.exc;

import org.jspecify.annotations.Nullable;

/**
 * A file or a message given to the program cannot be read. The location names the file,
 * the line and the field.
 */
public final class InputException extends ShallotspurException {

	/**
	 * Creates an exception without a cause.
	 * @param message what went wrong and what can be done about it
	 * @param location where it went wrong, or {@code null}
	 */
	public InputException(String message, @Nullable String location) {
		this(message, location, null);
	}

	/**
	 * Creates an exception.
	 * @param message what went wrong and what can be done about it
	 * @param location where it went wrong, or {@code null}
	 * @param cause the failure below this one, or {@code null}
	 */
	public InputException(String message, @Nullable String location, @Nullable Throwable cause) {
		super(message, location, cause);
	}

	@Override
	public String getCode() {
		return "input-malformed";
	}

}
