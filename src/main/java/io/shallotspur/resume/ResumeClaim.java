package io.shallotspur.resume;

/**
 * What a resume token says. Immutable.
 *
 * @param customer the customer whose answer it is
 * @param worker the decode worker that holds the stream
 * @param streamId the stream
 * @param base the index in the answer of the stream's first token
 * @param contractRevision the revision of the contract it was admitted under
 */
public record ResumeClaim(String customer, String worker, String streamId, long base, long contractRevision) {

}
