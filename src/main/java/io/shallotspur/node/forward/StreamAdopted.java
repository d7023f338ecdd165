package io.shallotspur.node.forward;

import io.shallotspur.port.PeerMessage;

/**
 * Tells the owner of a cell that a caller came back for a stream, so that it is not swept
 * as an orphan. Sent again while the caller reads. Immutable.
 *
 * @param worker the decode worker
 * @param streamId the stream
 */
public record StreamAdopted(String worker, String streamId) implements PeerMessage {

}
