package io.shallotspur.exc;

import org.jspecify.annotations.Nullable;

/**
 * The store's response is longer than the call reads. The rest of it was not read, and
 * the call may have taken effect.
 */
public final class StoreResponseTooLongException extends StoreException {

	/**
	 * Creates an exception.
	 * @param bytes the length of the body as far as it is known, in bytes
	 * @param maxBytes the longest body that is read, in bytes
	 * @param location the call
	 */
	public StoreResponseTooLongException(long bytes, long maxBytes, @Nullable String location) {
		super("The response has " + bytes + " bytes or more, and " + maxBytes + " are read.", location, null);
	}

	@Override
	public String getCode() {
		return "store-response-too-long";
	}

}
