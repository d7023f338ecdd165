package io.shallotspur.node.ledger;

/**
 * What a node that writes a shard says to an intent.
 */
public enum ReplyKind {

	/**
	 * The intent is committed; the asking node may dispatch it once.
	 */
	GRANTED,

	/**
	 * Another attempt holds the key and has not ended.
	 */
	IN_FLIGHT,

	/**
	 * The key was answered.
	 */
	ANSWERED,

	/**
	 * The key may have been run and its answer is lost.
	 */
	UNKNOWN,

	/**
	 * The key cannot be used.
	 */
	DENIED,

	/**
	 * The intent could not be committed in time.
	 */
	UNAVAILABLE

}
