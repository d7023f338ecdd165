package io.shallotspur.resume;

import java.util.Locale;

import io.shallotspur.exc.ShallotspurException;

/**
 * Thrown when a resume token is refused. The message contains no part of the token.
 */
public final class ResumeException extends ShallotspurException {

	private final ResumeFault fault;

	/**
	 * Creates an exception.
	 * @param fault the reason
	 */
	public ResumeException(ResumeFault fault) {
		super("the resume token is refused: " + fault.name().toLowerCase(Locale.ROOT).replace('_', ' '), null, null);
		this.fault = fault;
	}

	/**
	 * Returns the reason why the token is refused.
	 * @return the reason
	 */
	public ResumeFault getFault() {
		return this.fault;
	}

	@Override
	public String getCode() {
		return "resume-refused";
	}

}
