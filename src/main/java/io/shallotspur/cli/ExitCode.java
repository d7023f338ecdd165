package io.shallotspur.cli;

/**
 * How a command ended, for shells and supervisors.
 */
public enum ExitCode {

	/**
	 * The command did what it was asked to do.
	 */
	OK(0),

	/**
	 * The command ran and the answer is no: an invariant broke, a contract was refused.
	 */
	FAILED(1),

	/**
	 * The command line could not be understood.
	 */
	USAGE(2),

	/**
	 * A file given to the command cannot be used.
	 */
	BAD_INPUT(3),

	/**
	 * A service the command needs could not be reached.
	 */
	UNREACHABLE(4);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	/**
	 * Returns the exit status of the process.
	 * @return the status
	 */
	public int code() {
		return this.code;
	}

}
