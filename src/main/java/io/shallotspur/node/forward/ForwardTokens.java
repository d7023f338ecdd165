package io.shallotspur.node.forward;

import java.util.List;

import io.shallotspur.port.PeerMessage;

/**
 * Tokens that follow one another. Immutable.
 *
 * @param first the index of the first one in the answer
 * @param texts their texts
 */
public record ForwardTokens(long first, List<String> texts) implements PeerMessage {

}
