package io.shallotspur.resume;

/**
 * Contents of a resume token. Immutable.
 *
 * @param customer the customer that the answer belongs to
 * @param workerId the id of the decode worker that runs the stream
 * @param streamId the id of the stream, in the text form of {@link StreamId}
 * @param firstTokenIndex the index within the whole answer of the first token of this
 * stream
 * @param contractRevision the revision of the contract under which the request was
 * admitted
 */
public record ResumeClaims(String customer, String workerId, String streamId, long firstTokenIndex,
		long contractRevision) {

}
