package io.shallotspur.node.forward;

import io.shallotspur.port.PeerMessage;

/**
 * A worker began to generate. Immutable.
 *
 * @param resumeToken lets the caller get the rest elsewhere, or empty
 */
public record ForwardStarted(String resumeToken) implements PeerMessage {

}
