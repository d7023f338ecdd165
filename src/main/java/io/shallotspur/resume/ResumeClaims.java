package io.shallotspur.resume;

/**
 * What a resume token says. Immutable.
 *
 * @param customer the customer whose answer it is
 * @param workerId the decode worker that holds the stream
 * @param streamId the stream
 * @param firstTokenIndex the index in the answer of the stream's first token
 * @param contractRevision the revision of the contract it was admitted under
 */
public record ResumeClaims(String customer, String workerId, String streamId, long firstTokenIndex, long contractRevision) {

}
