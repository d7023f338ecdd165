package io.shallotspur.gateway;

/**
 * Calls to workers. Methods return at once and are called on the gateway's thread.
 */
public interface WorkerPort {

	/**
	 * Has a request run.
	 * @param call the call
	 * @param listener hears the answer
	 * @return the call under way
	 */
	Exchange run(WorkerCall call, ExchangeListener listener);

	/**
	 * Has only the prompt of a request prefilled.
	 * @param call the call
	 * @param listener hears the result
	 * @return the call under way
	 */
	Exchange prefill(WorkerCall call, PrefillListener listener);

	/**
	 * Frees a KV cache that will not be fetched.
	 * @param source the KV cache
	 */
	void releaseKvCache(KvSource source);

	/**
	 * Reserves a place and memory at a worker.
	 * @param worker the worker
	 * @param tokens the memory, in tokens
	 * @param ttlMs how long the reservation lasts, in milliseconds
	 * @param listener hears the result
	 */
	void reserve(WorkerInfo worker, int tokens, long ttlMs, ReservationListener listener);

	/**
	 * Gives a reservation back that will not be used.
	 * @param worker the worker
	 * @param reservation the reservation
	 */
	void cancelReservation(WorkerInfo worker, String reservation);

}
