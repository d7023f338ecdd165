package io.shallotspur.exc;

import org.jspecify.annotations.Nullable;

/**
 * The store no longer has the changes since a revision; all entries must be read again.
 */
public final class StoreHistoryGoneException extends StoreException {

	/**
	 * Creates an exception.
	 * @param message what went wrong and what can be done about it
	 * @param location the prefix that was watched, or {@code null}
	 */
	public StoreHistoryGoneException(String message, @Nullable String location) {
		super(message, location, null);
	}

	@Override
	public String getCode() {
		return "store-history-gone";
	}

}
