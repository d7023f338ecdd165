package io.shallotspur.resume;

/**
 * Reasons why a resume token is refused.
 */
public enum ResumeFault {

	/**
	 * The token does not have the expected format.
	 */
	MALFORMED,

	/**
	 * The token names a signing key that is not, or no longer, in the settings.
	 */
	UNKNOWN_KEY,

	/**
	 * The signature of the token does not match.
	 */
	FORGED,

	/**
	 * The token has expired.
	 */
	EXPIRED,

	/**
	 * The token was issued to another customer.
	 */
	OTHER_CUSTOMER

}
