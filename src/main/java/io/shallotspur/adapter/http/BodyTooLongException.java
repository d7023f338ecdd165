package io.shallotspur.adapter.http;

import java.io.IOException;

/**
 * The body of a response is longer than is read. The call may have taken effect.
 */
public final class BodyTooLongException extends IOException {

	private static final long serialVersionUID = 1L;

	BodyTooLongException(int maxBytes) {
		super("The body is longer than " + maxBytes + " bytes.");
	}

}
