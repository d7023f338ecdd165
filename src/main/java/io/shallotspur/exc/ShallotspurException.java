package io.shallotspur.exc;

import org.jspecify.annotations.Nullable;

/**
 * Root of all checked exceptions of the project.
 * <p>
 * Each subtype names one kind of failure. The message is addressed to the person who can
 * mend it, and the location says where to look (file and key, worker, peer address, store
 * key). Instances are immutable apart from what {@link Throwable} itself allows.
 */
public abstract class ShallotspurException extends Exception {

	private final @Nullable String location;

	/**
	 * Creates an exception.
	 * @param message what went wrong and what can be done about it
	 * @param location where it went wrong, or {@code null} if there is no such place
	 * @param cause the failure below this one, or {@code null}
	 */
	protected ShallotspurException(String message, @Nullable String location, @Nullable Throwable cause) {
		super(message, cause);
		this.location = location;
	}

	/**
	 * Returns a short, stable code of this kind of failure, such as
	 * {@code settings-invalid}. Codes appear in logs, in problem documents and in
	 * {@code docs/OPERATIONS.md}.
	 * @return the code, in kebab case
	 */
	public abstract String getCode();

	/**
	 * Returns where the failure happened.
	 * @return the location, or {@code null} if the failure has none
	 */
	public @Nullable String getLocation() {
		return this.location;
	}

}
