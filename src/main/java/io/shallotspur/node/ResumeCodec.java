package io.shallotspur.node;

import java.util.Optional;

/**
 * Turns resume points into tokens that a caller can carry and not forge. Implementations
 * are thread-safe.
 */
public interface ResumeCodec {

	/**
	 * Makes a token.
	 * @param point where the rest can be had
	 * @param now the present time in milliseconds
	 * @return the token, or empty if none can be made
	 */
	String issue(ResumePoint point, long now);

	/**
	 * Reads a token.
	 * @param token the token
	 * @param now the present time in milliseconds
	 * @return the resume point, or empty if the token is forged or too old
	 */
	Optional<ResumePoint> verify(String token, long now);

}
