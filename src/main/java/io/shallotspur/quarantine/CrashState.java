package io.shallotspur.quarantine;

/**
 * What a crash says about a request that was on the worker. The order of the constants is
 * the order of a merge: the later one wins.
 */
public enum CrashState {

	/**
	 * The request may have caused the crash.
	 */
	OPEN,

	/**
	 * The request ran on for a while afterwards, so it hardly caused the crash. It may
	 * still be one that crashes late.
	 */
	PROVEN,

	/**
	 * The request caused the crash, as far as can be known.
	 */
	CONVICTED,

	/**
	 * The request completed whole afterwards, so it did not cause the crash.
	 */
	CLEARED

}
