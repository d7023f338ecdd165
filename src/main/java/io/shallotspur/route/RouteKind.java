package io.shallotspur.route;

/**
 * What may be repeated of the requests on a route.
 */
public enum RouteKind {

	/**
	 * Idempotent: may run more than once.
	 */
	SAFE,

	/**
	 * Runs at most once.
	 */
	UNSAFE,

	/**
	 * Answered by server-sent events; runs at most once unless the route allows resuming.
	 */
	STREAM

}
