package io.shallotspur.exc;

import org.jspecify.annotations.Nullable;

/**
 * A call to a worker did not succeed. The subtypes tell whether the worker may have run
 * the call.
 */
public abstract class EngineException extends ShallotspurException {

	/**
	 * Creates an exception.
	 * @param message what went wrong and what can be done about it
	 * @param location the worker, or {@code null}
	 * @param cause the failure below this one, or {@code null}
	 */
	protected EngineException(String message, @Nullable String location, @Nullable Throwable cause) {
		super(message, location, cause);
	}

}
