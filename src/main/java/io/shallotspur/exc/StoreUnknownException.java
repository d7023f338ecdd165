package io.shallotspur.exc;

import org.jspecify.annotations.Nullable;

/**
 * A write was sent and its answer never came. It may or may not have taken effect; the
 * caller reads the record again before it tells anyone anything.
 */
public final class StoreUnknownException extends StoreException {

	/**
	 * Creates an exception without a cause.
	 * @param message what went wrong and what can be done about it
	 * @param location where it went wrong, or {@code null}
	 */
	public StoreUnknownException(String message, @Nullable String location) {
		this(message, location, null);
	}

	/**
	 * Creates an exception.
	 * @param message what went wrong and what can be done about it
	 * @param location where it went wrong, or {@code null}
	 * @param cause the failure below this one, or {@code null}
	 */
	public StoreUnknownException(String message, @Nullable String location, @Nullable Throwable cause) {
		super(message, location, cause);
	}

	@Override
	public String getCode() {
		return "store-unknown";
	}

}
