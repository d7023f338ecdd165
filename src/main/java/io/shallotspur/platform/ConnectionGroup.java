package io.shallotspur.platform;

/**
 * The calls to a worker that share its pooled connections. A late second answer comes on
 * the connection of the first, so it can be taken only for the answer to another call of
 * its group.
 */
enum ConnectionGroup {

	/** Runs of requests, whose answers name the id of their request. */
	RUNS,

	/**
	 * Prefills, whose answers do so too. A worker that has changed its stage may get the
	 * run of a request after its prefill, with the same id.
	 */
	PREFILLS,

	/** Reservations and releases, which have no id. */
	RESERVATIONS,

	/**
	 * Reports and orders. Nothing ties their answers to them but that nothing else was
	 * sent on the connection. They are few.
	 */
	ONE_CALL_EACH

}
