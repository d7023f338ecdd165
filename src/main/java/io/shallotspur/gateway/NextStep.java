package io.shallotspur.gateway;

/**
 * What follows an attempt that ended without success.
 */
public enum NextStep {

	/** Send the request to another worker. */
	RETRY,

	/** Tell the caller that the request was not run. */
	REFUSE_NOT_RUN,

	/** Give the caller the worker's own failure. */
	RELAY_FAILURE,

	/** Tell the caller that the outcome is not known. */
	REPORT_UNKNOWN

}
