package io.shallotspur.gateway;

import java.util.List;
import java.util.function.Consumer;

/**
 * The response to one caller. The gateway calls either {@link #send} or {@link #refuse},
 * once, or {@link #start}, any number of {@link #write}, and then {@link #complete} or
 * {@link #abort}. Called on the gateway's thread.
 */
public interface CallerResponse {

	/**
	 * The request was admitted. Called at most once, ahead of the response; not called
	 * for a request that is refused before.
	 * @param id the id of the request
	 * @param rank how urgent it is; 0 is the most urgent
	 * @param pauses called with {@code true} when too much of the response waits for the
	 * caller to read, and with {@code false} when it has read on
	 */
	default void admitted(String id, int rank, Consumer<Boolean> pauses) {
	}

	/**
	 * Sends a response with a body of known length.
	 * @param status the HTTP status
	 * @param headers the header fields
	 * @param body the body
	 */
	void send(int status, List<HeaderField> headers, byte[] body);

	/**
	 * Sends a refusal or an error that this VM generates itself.
	 * @param refusal status, reason and retry delay for the caller
	 */
	void refuse(RelayRefusal refusal);

	/**
	 * Starts a response of unknown length.
	 * @param status the HTTP status
	 * @param headers the header fields
	 */
	void start(int status, List<HeaderField> headers);

	/**
	 * Sends part of the body immediately.
	 * @param bytes the bytes
	 */
	void write(byte[] bytes);

	/**
	 * Ends the response as complete.
	 */
	void complete();

	/**
	 * Closes the connection in a way that lets the caller detect the truncated response.
	 */
	void abort();

}
