package io.shallotspur.exc;

import org.jspecify.annotations.Nullable;

/**
 * Another entry VM could not be reached, or its answer could not be read.
 */
public final class PeerException extends ShallotspurException {

	/**
	 * Creates an exception without a cause.
	 * @param message what went wrong and what can be done about it
	 * @param location where it went wrong, or {@code null}
	 */
	public PeerException(String message, @Nullable String location) {
		this(message, location, null);
	}

	/**
	 * Creates an exception.
	 * @param message what went wrong and what can be done about it
	 * @param location where it went wrong, or {@code null}
	 * @param cause the failure below this one, or {@code null}
	 */
	public PeerException(String message, @Nullable String location, @Nullable Throwable cause) {
		super(message, location, cause);
	}

	@Override
	public String getCode() {
		return "peer-unreachable";
	}

}
