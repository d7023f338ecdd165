package io.shallotspur.gateway;

/**
 * Hears what becomes of a prefill, on the gateway's thread. One of the methods other than
 * {@link #onStatus} is called, once.
 */
public interface PrefillListener {

	/**
	 * What the worker says of itself, before what follows.
	 * @param status the news
	 */
	void onStatus(WorkerStatus status);

	/**
	 * The KV cache is there.
	 * @param handle its name at the worker
	 */
	void onReady(String handle);

	/**
	 * The prefill failed on the way.
	 * @param failure what was seen
	 */
	void onFailure(ExchangeFailure failure);

	/**
	 * The worker refused the prefill and has not done it.
	 * @param reason what was seen
	 * @param instanceReplaced whether another incarnation has the worker's address
	 */
	void onRefused(String reason, boolean instanceReplaced);

}
