package io.shallotspur.node.forward;

import io.shallotspur.port.PeerMessage;

/**
 * A model request for its owner. Answered by a stream of {@link ForwardStarted},
 * {@link ForwardTokens} and, at the end of a request without a whole answer,
 * {@link ForwardRefused}. Times are spans, since the clocks of two VMs differ. Immutable.
 *
 * @param customer the customer
 * @param className the class
 * @param key the Idempotency-Key, or empty
 * @param remainingMs how long the caller waits yet, in milliseconds
 * @param hops how often the request was forwarded, this time included
 * @param body the body as the caller sent it
 */
public record ForwardModel(String customer, String className, String key, long remainingMs, int hops,
		byte[] body) implements PeerMessage {

}
