package io.shallotspur.exc;

import org.jspecify.annotations.Nullable;

/**
 * A call to the platform's key-value service did not succeed. The subtypes tell apart
 * what a caller has to tell apart: whether the write took effect.
 */
public abstract class StoreException extends ShallotspurException {

	/**
	 * Creates an exception.
	 * @param message what went wrong and what can be done about it
	 * @param location the store key, or {@code null}
	 * @param cause the failure below this one, or {@code null}
	 */
	protected StoreException(String message, @Nullable String location, @Nullable Throwable cause) {
		super(message, location, cause);
	}

}
