package io.shallotspur.node;

/**
 * Where the rest of an answer can be had. Immutable.
 *
 * @param customer whose answer it is
 * @param worker the decode worker that holds the stream
 * @param streamId the stream
 * @param base the index in the answer of the stream's first token
 * @param contractRevision the contract's revision under which it was admitted
 */
public record ResumePoint(String customer, String worker, String streamId, long base, long contractRevision) {

}
