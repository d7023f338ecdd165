package io.shallotspur.node.forward;

import io.shallotspur.port.PeerMessage;

/**
 * The answer of a plain service. Immutable.
 *
 * @param status the HTTP status
 * @param contentType the media type, or empty
 * @param body the body
 */
public record ForwardReply(int status, String contentType, byte[] body) implements PeerMessage {

}
