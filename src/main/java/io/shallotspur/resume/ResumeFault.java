package io.shallotspur.resume;

/**
 * Why a resume token is refused.
 */
public enum ResumeFault {

	/**
	 * It is no token of this program.
	 */
	MALFORMED,

	/**
	 * It was signed with a key that is not, or no longer, in the settings.
	 */
	UNKNOWN_KEY,

	/**
	 * Its signature does not match.
	 */
	FORGED,

	/**
	 * It is too old.
	 */
	EXPIRED,

	/**
	 * It belongs to another customer.
	 */
	OTHER_CUSTOMER

}
