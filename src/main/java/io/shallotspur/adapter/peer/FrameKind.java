package io.shallotspur.adapter.peer;

/**
 * What a frame is for. The order is part of the protocol: a new kind goes to the end.
 */
enum FrameKind {

	/**
	 * Client, first: version, deployment and its nonce.
	 */
	HELLO,

	/**
	 * Server, second: its nonce and its proof.
	 */
	CHALLENGE,

	/**
	 * Client, third: its proof.
	 */
	PROOF,

	/**
	 * Server, fourth: the link is open.
	 */
	WELCOME,

	/**
	 * Either side: the link is closed, and why.
	 */
	REJECT,

	/**
	 * A question that wants one answer.
	 */
	ASK,

	/**
	 * A question that wants a stream of answers.
	 */
	STREAM,

	/**
	 * The asker takes so many more answers; the number is the type field.
	 */
	DEMAND,

	/**
	 * The asker wants no more answers.
	 */
	CANCEL,

	/**
	 * An answer.
	 */
	ANSWER,

	/**
	 * No more answers.
	 */
	COMPLETE,

	/**
	 * The question failed.
	 */
	FAIL,

	/**
	 * A message that wants no answer.
	 */
	SEND,

	/**
	 * A heartbeat of the client.
	 */
	PING,

	/**
	 * The server's answer to a heartbeat.
	 */
	PONG;

	private static final FrameKind[] ALL = values();

	static FrameKind of(int ordinal) {
		if (ordinal < 0 || ordinal >= ALL.length) {
			throw new IllegalArgumentException("frame kind " + ordinal);
		}
		return ALL[ordinal];
	}

}
