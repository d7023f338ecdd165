package io.shallotspur.port;

/**
 * The answer of a plain service. Immutable; the array is not copied.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body, or empty
 * @param body the body
 */
public record PlainReply(int status, String contentType, byte[] body) {

}
