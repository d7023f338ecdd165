package io.shallotspur.resume;

import java.util.Locale;

import io.shallotspur.exc.ShallotspurException;

/**
 * A resume token is refused. Nothing of the token is in the message.
 */
public final class ResumeException extends ShallotspurException {

	private final ResumeFault fault;

	/**
	 * Creates an exception.
	 * @param fault why the token is refused
	 */
	public ResumeException(ResumeFault fault) {
		super("the resume token is refused: " + fault.name().toLowerCase(Locale.ROOT).replace('_', ' '), null, null);
		this.fault = fault;
	}

	/**
	 * Returns why the token is refused.
	 * @return the fault
	 */
	public ResumeFault getFault() {
		return this.fault;
	}

	@Override
	public String getCode() {
		return "resume-refused";
	}

}
