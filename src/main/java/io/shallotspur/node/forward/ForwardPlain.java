package io.shallotspur.node.forward;

import io.shallotspur.port.PeerMessage;

/**
 * A call to a plain service for its owner. Answered by a {@link ForwardReply} or a
 * {@link ForwardRefused}. Immutable.
 *
 * @param customer the customer
 * @param className the class
 * @param key the Idempotency-Key, or empty
 * @param remainingMs how long the caller waits yet, in milliseconds
 * @param hops how often the call was forwarded, this time included
 * @param upstream the upstream
 * @param method the HTTP method
 * @param path the path and query behind the upstream's name
 * @param contentType the media type of the body, or empty
 * @param body the body
 */
public record ForwardPlain(String customer, String className, String key, long remainingMs, int hops, String upstream,
		String method, String path, String contentType, byte[] body) implements PeerMessage {

}
