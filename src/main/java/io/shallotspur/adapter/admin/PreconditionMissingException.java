package io.shallotspur.adapter.admin;

import io.shallotspur.exc.ShallotspurException;

/**
 * A change came without the revision that its author has seen.
 */
final class PreconditionMissingException extends ShallotspurException {

	PreconditionMissingException(String message) {
		super(message, null, null);
	}

	@Override
	public String getCode() {
		return "precondition-required";
	}

}
