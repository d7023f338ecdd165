package io.shallotspur.node;

/**
 * A request as a caller sent it, before it is known whose it is. Immutable; the array is
 * not copied.
 *
 * @param bearer the bearer token, or empty
 * @param className the class, or empty
 * @param key the Idempotency-Key, or empty
 * @param deadlineMs the caller's own deadline in milliseconds from now, or 0
 * @param body the body, empty if there is none
 */
public record CallerRequest(String bearer, String className, String key, long deadlineMs, byte[] body) {

}
