package io.shallotspur.membership;

/**
 * What is known of a member. The order matters: of two statements with one incarnation
 * the later constant wins.
 */
public enum MemberStatus {

	/**
	 * Answers probes.
	 */
	ALIVE,

	/**
	 * Did not answer a probe and may still refute.
	 */
	SUSPECT,

	/**
	 * Has announced its leave: it finishes what it has and takes no new work.
	 */
	LEAVING,

	/**
	 * Did not refute in time, or has left.
	 */
	DEAD

}
