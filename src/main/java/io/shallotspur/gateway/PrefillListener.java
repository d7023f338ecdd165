package io.shallotspur.gateway;

/**
 * Hears what becomes of a prefill. One method is called, once, on the gateway's thread.
 */
public interface PrefillListener {

	/**
	 * The KV cache is there.
	 * @param handle its name at the worker
	 */
	void onReady(String handle);

	/**
	 * The worker refused the prefill, or it failed on the way.
	 * @param failure what was seen
	 */
	void onFailure(ExchangeFailure failure);

}
