package io.shallotspur.adapter.admin;

import io.shallotspur.distribution.ContractJson;
import io.shallotspur.exc.ContractConflictException;
import io.shallotspur.exc.ContractInvalidException;
import io.shallotspur.exc.ShallotspurException;
import io.shallotspur.exc.StoreUnknownException;

/**
 * A problem document (RFC 9457) of the operators' API. Immutable.
 *
 * @param type the problem type
 * @param title its short name
 * @param status the HTTP status
 * @param detail a sentence for the operator
 * @param outcome whether the change was accepted: {@code not_accepted} or
 * {@code outcome_unknown}
 */
record AdminProblem(String type, String title, int status, String detail, String outcome) {

	static final String MEDIA_TYPE = "application/problem+json";

	private static final String TYPE_PREFIX = "urn:shallotspur:problem:";

	private static final String NOT_ACCEPTED = "not_accepted";

	private static final int CONFLICT = 412;

	private static final int INVALID = 422;

	private static final int INTERNAL = 500;

	private static final int UNAVAILABLE = 503;

	private static final int UNKNOWN = 504;

	static AdminProblem of(String code, int status, String detail) {
		return new AdminProblem(TYPE_PREFIX + code, code, status, detail, NOT_ACCEPTED);
	}

	static AdminProblem of(Throwable ex) {
		if (ex instanceof StoreUnknownException e) {
			return new AdminProblem(TYPE_PREFIX + e.getCode(), e.getCode(), UNKNOWN, e.getMessage(), "outcome_unknown");
		}
		if (ex instanceof ShallotspurException e) {
			return of(e.getCode(), status(e), e.getMessage());
		}
		// A fault of this program may have come after the change took effect.
		return new AdminProblem(TYPE_PREFIX + "internal", "internal", INTERNAL, "The VM failed; see its log.",
				"outcome_unknown");
	}

	byte[] toJson() {
		return ContractJson.write(this);
	}

	private static int status(ShallotspurException ex) {
		if (ex instanceof ContractConflictException) {
			return CONFLICT;
		}
		return (ex instanceof ContractInvalidException) ? INVALID : UNAVAILABLE;
	}

}
