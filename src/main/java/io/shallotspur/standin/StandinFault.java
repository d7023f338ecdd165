package io.shallotspur.standin;

import java.io.Serial;

/**
 * Ends a call at a stand-in with an HTTP status, or by closing the connection.
 */
final class StandinFault extends RuntimeException {

	@Serial
	private static final long serialVersionUID = 1L;

	private static final int CLOSE = 0;

	private static final int CONFLICT = 409;

	private final int status;

	private StandinFault(int status, String message) {
		super(message, null, false, false);
		this.status = status;
	}

	static StandinFault refused(String message) {
		return new StandinFault(CONFLICT, message);
	}

	static StandinFault crashed() {
		return new StandinFault(CLOSE, "The worker crashed.");
	}

	int status() {
		return this.status;
	}

	boolean closes() {
		return this.status == CLOSE;
	}

}
