package io.shallotspur.gateway;

import java.util.List;

/**
 * The answer to one caller. Either {@link #send} is called once, or {@link #start}, then
 * any number of {@link #write}, then {@link #complete} or {@link #abort}. Called on the
 * gateway's thread.
 */
public interface CallerResponse {

	/**
	 * Answers with a body of known length.
	 * @param status the HTTP status
	 * @param headers the header fields
	 * @param body the body
	 */
	void send(int status, List<HeaderField> headers, byte[] body);

	/**
	 * Refuses the request or reports its failure in this VM's own name.
	 * @param refusal what the caller is told
	 */
	void refuse(RelayRefusal refusal);

	/**
	 * Begins an answer whose length is not known.
	 * @param status the HTTP status
	 * @param headers the header fields
	 */
	void start(int status, List<HeaderField> headers);

	/**
	 * Sends a part of the body at once.
	 * @param bytes the bytes
	 */
	void write(byte[] bytes);

	/**
	 * Marks the answer as complete.
	 */
	void complete();

	/**
	 * Closes the connection so that the answer is seen to be incomplete.
	 */
	void abort();

}
