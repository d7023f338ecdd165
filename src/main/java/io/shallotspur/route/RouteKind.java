package io.shallotspur.route;

/**
 * The execution semantics of the requests on a route.
 */
public enum RouteKind {

	/**
	 * Idempotent: may be executed more than once.
	 */
	SAFE,

	/**
	 * Executed at most once.
	 */
	UNSAFE,

	/**
	 * Answered with server-sent events; executed at most once unless the route is
	 * resumable.
	 */
	STREAM

}
