package io.shallotspur.route;

import java.util.List;

/**
 * A configured route. Immutable.
 *
 * @param name the configured name
 * @param host the host that it matches, in lower case
 * @param pathPrefix the path prefix that it matches; starts and ends with a slash
 * @param kind whether requests may be executed again, and whether answers are streamed
 * @param targets the upstreams that serve it; at least one
 * @param timeoutMs maximum time from the arrival of a request to the end of its response,
 * in milliseconds; a shorter timeout of the caller takes precedence
 * @param latencyTargetMs latency objective in milliseconds; for streams, the time to the
 * first event
 * @param maxEventGapMs maximum time between two events of a stream that meets the
 * objective, in milliseconds; 0 for routes that are not streams
 * @param priority the priority; 0 is the highest
 * @param maxAttempts maximum number of workers to which a request may be sent; at least 1
 * @param resumable whether an interrupted stream may be resumed on another worker
 * @param hasPromptMetadata whether its requests carry metadata that describes the prompt
 * @param allowsAnonymous whether callers may send requests without a key
 */
public record Route(String name, String host, String pathPrefix, RouteKind kind, List<RouteTarget> targets,
		long timeoutMs, long latencyTargetMs, long maxEventGapMs, int priority, int maxAttempts, boolean resumable,
		boolean hasPromptMetadata, boolean allowsAnonymous) {

	/**
	 * Creates a route; the list of targets is copied.
	 */
	public Route {
		targets = List.copyOf(targets);
	}

	/**
	 * Returns whether a request on this route may be retried if it may already have been
	 * executed.
	 * @return {@code true} if a second execution is harmless
	 */
	public boolean repeatable() {
		return this.kind == RouteKind.SAFE || (this.kind == RouteKind.STREAM && this.resumable);
	}

	/**
	 * Selects the upstream of a request by weight.
	 * @param draw a random number from 0 (inclusive) to 1 (exclusive)
	 * @return the upstream's name
	 */
	public String chooseUpstream(double draw) {
		double totalWeight = this.targets.stream().mapToDouble(RouteTarget::weight).sum();
		double remaining = draw * totalWeight;
		for (RouteTarget t : this.targets) {
			remaining -= t.weight();
			if (remaining < 0) {
				return t.upstream();
			}
		}
		return this.targets.get(0).upstream();
	}

}
