package io.shallotspur.node;

import io.shallotspur.exc.ShallotspurException;
import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;

/**
 * A request ends without a whole answer, and its caller is told why. It carries no stack
 * trace: under overload many are made, and the refusal says all there is to know.
 */
public final class RefusedException extends ShallotspurException {

	private final transient Refusal refusal;

	/**
	 * Creates an exception.
	 * @param refusal what the caller is told
	 */
	public RefusedException(Refusal refusal) {
		super(refusal.detail(), null, null);
		this.refusal = refusal;
	}

	/**
	 * Creates an exception for a request that was not run.
	 * @param code why
	 * @param detail a sentence for the caller
	 * @return the exception
	 */
	public static RefusedException notRun(RefusalCode code, String detail) {
		return new RefusedException(Refusal.notRun(code, detail, 0));
	}

	@Override
	public String getCode() {
		return this.refusal.code().code();
	}

	/**
	 * Returns what the caller is told.
	 * @return the refusal
	 */
	public Refusal getRefusal() {
		return this.refusal;
	}

	@Override
	public synchronized Throwable fillInStackTrace() {
		return this;
	}

}
