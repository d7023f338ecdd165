package io.shallotspur.gateway;

/**
 * The action taken after an unsuccessful attempt.
 */
public enum NextStep {

	/** Send the request to another worker. */
	RETRY,

	/** Tell the caller that the request was not run. */
	REFUSE_NOT_RUN,

	/** Relay the worker's own error response to the caller. */
	RELAY_FAILURE,

	/** Tell the caller that the outcome is unknown. */
	REPORT_UNKNOWN

}
