package io.shallotspur.port;

/**
 * A call to a plain service. Immutable; the array is not copied.
 *
 * @param method the HTTP method
 * @param path the path and query behind the upstream's name, with a leading slash
 * @param contentType the media type of the body, or empty
 * @param body the body, empty if there is none
 * @param key the caller's idempotency key, or empty
 */
public record PlainCall(String method, String path, String contentType, byte[] body, String key) {

}
