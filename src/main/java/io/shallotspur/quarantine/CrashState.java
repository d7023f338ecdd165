package io.shallotspur.quarantine;

/**
 * What a crash indicates about a request that was running on the worker. When two entries
 * are merged, the constant declared later takes precedence.
 */
public enum CrashState {

	/**
	 * The request may have caused the crash.
	 */
	OPEN,

	/**
	 * The request made progress after the crash, so it is unlikely to have caused it. It
	 * is not ruled out: some requests crash a worker only after running for a while.
	 */
	PROVEN,

	/**
	 * The request is considered the cause of the crash.
	 */
	CONVICTED,

	/**
	 * The request ran to completion after the crash, so it did not cause it.
	 */
	CLEARED

}
