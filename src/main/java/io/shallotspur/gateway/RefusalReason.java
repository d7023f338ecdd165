package io.shallotspur.gateway;

import java.util.Locale;

/**
 * The reason why a request was not answered by a worker.
 */
public enum RefusalReason {

	/** No configuration was received yet. */
	NO_CONFIGURATION,

	/** This VM is shutting down, and the answer could not be completed in time. */
	LEAVING,

	/** No route matches host and path. */
	NO_ROUTE,

	/** No customer has the key that the caller sent, or it sent none. */
	UNKNOWN_KEY,

	/** Whether the key has been revoked cannot be determined at present. */
	KEY_UNPROVEN,

	/** The customer has exceeded its quota. */
	OVER_QUOTA,

	/** No worker of the upstream is available. */
	NO_WORKER,

	/**
	 * It is not known at which version the stream began that the request resumes.
	 */
	ORIGIN_UNKNOWN,

	/**
	 * No worker is available whose software has the version at which the stream began.
	 */
	VERSION_GONE,

	/**
	 * A worker refused the request and no further attempt was possible, no worker had
	 * capacity for it in time, or the queue for a reservation was full.
	 */
	WORKERS_FULL,

	/**
	 * The worker whose rate limit and pause were expected to admit the request soonest
	 * admit it only when it is too late.
	 */
	WORKERS_LIMITED,

	/**
	 * Neither this VM nor another one that it has asked can connect any of the workers.
	 */
	WORKERS_UNREACHABLE,

	/** The request has crashed workers and is in quarantine. */
	CRASHES_WORKERS,

	/** The connection to the worker broke while the request may have been running. */
	WORKER_LOST,

	/**
	 * The worker ran the request and returned an error whose status would promise that it
	 * has not run.
	 */
	WORKER_FAILED,

	/** The time for an answer has expired. */
	TIMED_OUT,

	/** This VM holds as much as it may for receivers that read slowly. */
	MEMORY_FULL,

	/** The request violates the protocol or a limit. */
	BAD_REQUEST;

	/**
	 * Returns the reason why a request is refused after its last attempt.
	 * @param outcome the outcome of the attempt
	 * @return the reason
	 */
	static RefusalReason after(AttemptOutcome outcome) {
		return switch (outcome) {
			case NOT_SENT -> NO_WORKER;
			case NOT_RUN -> WORKERS_FULL;
			case FAILED, UNKNOWN -> WORKER_LOST;
		};
	}

	/**
	 * Returns the form used in responses and logs.
	 * @return the name in kebab case
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
