package io.shallotspur.gateway;

/**
 * Receives the result of a reservation call, on the gateway's thread. Exactly one of the
 * methods other than {@link #onStatus} is called, once.
 */
public interface ReservationListener {

	/**
	 * Receives the worker's status, before the result.
	 * @param status the status
	 */
	void onStatus(WorkerStatus status);

	/**
	 * A slot and memory are reserved.
	 * @param reservation the reservation's name at the worker; can be used once
	 */
	void onReserved(String reservation);

	/**
	 * The worker has no capacity.
	 */
	void onNoCapacity();

	/**
	 * Another instance has the worker's address.
	 */
	void onInstanceReplaced();

	/**
	 * The worker did not respond.
	 * @param failure the failure
	 */
	void onFailure(ExchangeFailure failure);

}
