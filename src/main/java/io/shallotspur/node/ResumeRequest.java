package io.shallotspur.node;

/**
 * A caller that comes back for the rest of an answer. Immutable.
 *
 * @param bearer the bearer token, or empty
 * @param token the resume token from the first event of the answer
 * @param fromIndex the index of the first token it does not have
 */
public record ResumeRequest(String bearer, String token, long fromIndex) {

}
