package io.shallotspur.gateway;

/**
 * Receives the response of a worker. All methods are called on the gateway's thread, in
 * the order head, bytes, end; a failure may occur at any point and is the last call.
 */
public interface ExchangeListener {

	/**
	 * The response head was received.
	 * @param head the head
	 */
	void onHead(ResponseHead head);

	/**
	 * Part of the body was received.
	 * @param bytes the bytes; owned by the listener
	 */
	void onBytes(byte[] bytes);

	/**
	 * The response is complete.
	 */
	void onEnd();

	/**
	 * The call ended before its response was complete.
	 * @param failure the cause
	 */
	void onFailure(ExchangeFailure failure);

}
