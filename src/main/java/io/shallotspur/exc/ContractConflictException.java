package io.shallotspur.exc;

import org.jspecify.annotations.Nullable;

/**
 * Another operator changed the contract first. The message names the current revision.
 */
public final class ContractConflictException extends ShallotspurException {

	private final long currentRevision;

	/**
	 * Creates an exception that names the current revision.
	 * @param message what went wrong and what can be done about it
	 * @param location where it went wrong, or {@code null}
	 * @param currentRevision the revision in force, or 0 if no contract is
	 */
	public ContractConflictException(String message, @Nullable String location, long currentRevision) {
		super(message, location, null);
		this.currentRevision = currentRevision;
	}

	/**
	 * Creates an exception without a cause.
	 * @param message what went wrong and what can be done about it
	 * @param location where it went wrong, or {@code null}
	 */
	public ContractConflictException(String message, @Nullable String location) {
		this(message, location, null);
	}

	/**
	 * Creates an exception.
	 * @param message what went wrong and what can be done about it
	 * @param location where it went wrong, or {@code null}
	 * @param cause the failure below this one, or {@code null}
	 */
	public ContractConflictException(String message, @Nullable String location, @Nullable Throwable cause) {
		super(message, location, cause);
		this.currentRevision = 0;
	}

	/**
	 * Returns the revision in force.
	 * @return the revision, or 0 if there is no contract in force or it is not known
	 */
	public long getCurrentRevision() {
		return this.currentRevision;
	}

	@Override
	public String getCode() {
		return "contract-conflict";
	}

}
