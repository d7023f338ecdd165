package io.shallotspur.gateway;

/**
 * Hears what becomes of a call for a reservation. One method is called, once, on the
 * gateway's thread.
 */
public interface HoldListener {

	/**
	 * A place and memory are reserved.
	 * @param hold the reservation's name at the worker; can be used once
	 */
	void onHeld(String hold);

	/**
	 * The worker has no room.
	 */
	void onFull();

	/**
	 * Another incarnation has the worker's address.
	 */
	void onReplaced();

	/**
	 * The worker did not answer.
	 * @param failure what was seen
	 */
	void onFailure(ExchangeFailure failure);

}
