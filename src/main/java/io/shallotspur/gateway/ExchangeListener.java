package io.shallotspur.gateway;

/**
 * Hears what becomes of a call to a worker. All methods are called on the gateway's
 * thread, in the order head, bytes, end; a failure may come at any point and is the last.
 */
public interface ExchangeListener {

	/**
	 * The head of the answer has come.
	 * @param head the head
	 */
	void onHead(ResponseHead head);

	/**
	 * A part of the body has come.
	 * @param bytes the bytes; they belong to the listener
	 */
	void onBytes(byte[] bytes);

	/**
	 * The answer is whole.
	 */
	void onEnd();

	/**
	 * The call ended before its answer was whole.
	 * @param failure what was seen
	 */
	void onFailure(ExchangeFailure failure);

}
