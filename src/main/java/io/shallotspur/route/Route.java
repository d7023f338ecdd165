package io.shallotspur.route;

import java.util.List;

/**
 * One route of the configuration. Immutable.
 *
 * @param name the operator's name for it
 * @param host the host it belongs to, in lower case
 * @param pathPrefix what the path begins with; begins and ends with a slash
 * @param kind what may be repeated
 * @param targets the upstreams that serve it; at least one
 * @param timeoutMs the longest time a request may be kept waiting, in milliseconds
 * @param latencyTargetMs the latency objective in milliseconds (streams: up to the first event)
 * @param maxEventGapMs the longest pause between two events that is still on time, in
 * milliseconds; 0 for routes that are not streams
 * @param priority the rank; 0 is the highest
 * @param maxAttempts the most workers that one request may be sent to; at least 1
 * @param resumable whether a broken stream may go on at another worker
 * @param hasPromptMetadata whether its requests say what their prompt consists of
 * @param allowsAnonymous whether its callers need no key
 */
public record Route(String name, String host, String pathPrefix, RouteKind kind, List<RouteTarget> targets, long timeoutMs,
		long latencyTargetMs, long maxEventGapMs, int priority, int maxAttempts, boolean resumable, boolean hasPromptMetadata,
		boolean allowsAnonymous) {

	/**
	 * Creates a route; the list of targets is copied.
	 */
	public Route {
		targets = List.copyOf(targets);
	}

	/**
	 * Tells whether a request of this route may be run again after it may have run.
	 * @return {@code true} if a second run does no harm
	 */
	public boolean repeatable() {
		return this.kind == RouteKind.SAFE || (this.kind == RouteKind.STREAM && this.resumable);
	}

	/**
	 * Chooses the upstream of one request by weight.
	 * @param draw a random number from 0 (inclusive) to 1 (exclusive)
	 * @return the upstream's name
	 */
	public String chooseUpstream(double draw) {
		double sum = this.targets.stream().mapToDouble(RouteTarget::weight).sum();
		double left = draw * sum;
		for (RouteTarget t : this.targets) {
			left -= t.weight();
			if (left < 0) {
				return t.upstream();
			}
		}
		return this.targets.get(0).upstream();
	}

}
