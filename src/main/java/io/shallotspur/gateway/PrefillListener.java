package io.shallotspur.gateway;

/**
 * Receives the result of a prefill, on the gateway's thread. Exactly one of the methods
 * other than {@link #onStatus} is called, once.
 */
public interface PrefillListener {

	/**
	 * Receives the worker's status, before the result.
	 * @param status the status
	 */
	void onStatus(WorkerStatus status);

	/**
	 * The KV cache is ready.
	 * @param handle its name at the worker
	 */
	void onReady(String handle);

	/**
	 * The prefill failed in transit.
	 * @param failure the failure
	 */
	void onFailure(ExchangeFailure failure);

	/**
	 * The worker refused the prefill and has not run it.
	 * @param reason the reason
	 * @param instanceReplaced whether another instance has the worker's address
	 */
	void onRefused(String reason, boolean instanceReplaced);

}
