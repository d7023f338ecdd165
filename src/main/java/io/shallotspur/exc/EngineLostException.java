package io.shallotspur.exc;

import org.jspecify.annotations.Nullable;

/**
 * The connection to the worker ended before its answer. The call may have been run.
 */
public final class EngineLostException extends EngineException {

	/**
	 * Creates an exception without a cause.
	 * @param message what went wrong and what can be done about it
	 * @param location where it went wrong, or {@code null}
	 */
	public EngineLostException(String message, @Nullable String location) {
		this(message, location, null);
	}

	/**
	 * Creates an exception.
	 * @param message what went wrong and what can be done about it
	 * @param location where it went wrong, or {@code null}
	 * @param cause the failure below this one, or {@code null}
	 */
	public EngineLostException(String message, @Nullable String location, @Nullable Throwable cause) {
		super(message, location, cause);
	}

	@Override
	public String getCode() {
		return "engine-lost";
	}

}
