package io.shallotspur.gateway;

/**
 * Hears what becomes of a call for a reservation, on the gateway's thread. One of the
 * methods other than {@link #onStatus} is called, once.
 */
public interface ReservationListener {

	/**
	 * What the worker says of itself, before what follows.
	 * @param status the news
	 */
	void onStatus(WorkerStatus status);

	/**
	 * A place and memory are reserved.
	 * @param reservation the reservation's name at the worker; can be used once
	 */
	void onReserved(String reservation);

	/**
	 * The worker has no room.
	 */
	void onNoCapacity();

	/**
	 * Another incarnation has the worker's address.
	 */
	void onInstanceReplaced();

	/**
	 * The worker did not answer.
	 * @param failure what was seen
	 */
	void onFailure(ExchangeFailure failure);

}
