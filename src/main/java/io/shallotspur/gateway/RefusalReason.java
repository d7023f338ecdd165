package io.shallotspur.gateway;

import java.util.Locale;

/**
 * Why a request was not answered by a worker.
 */
public enum RefusalReason {

	/** No configuration is known yet. */
	NO_CONFIGURATION,

	/** This VM is about to end, and the answer would not be whole by then. */
	LEAVING,

	/** No route matches host and path. */
	NO_ROUTE,

	/** No customer has the key that the caller sent, or it sent none. */
	UNKNOWN_KEY,

	/** Whether the key has been revoked cannot be found out at present. */
	KEY_UNPROVEN,

	/** The customer has asked for more than its quota. */
	OVER_QUOTA,

	/** No worker of the upstream takes requests. */
	NO_WORKER,

	/** Every worker that was asked turned the request away. */
	WORKERS_FULL,

	/** All workers take fewer requests for a while, and those are used up. */
	WORKERS_LIMITED,

	/** The connection to the worker broke while it may have been at work. */
	WORKER_LOST,

	/** The time for an answer is up. */
	TIMED_OUT,

	/** The request breaks the protocol or a limit. */
	BAD_REQUEST;

	/**
	 * Returns the form used in answers and logs.
	 * @return the name in kebab case
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
