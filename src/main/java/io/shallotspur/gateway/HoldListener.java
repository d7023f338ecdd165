package io.shallotspur.gateway;

/**
 * Hears what becomes of a call for a reservation, on the gateway's thread. One of the
 * methods other than {@link #onNews} is called, once.
 */
public interface HoldListener {

	/**
	 * What the worker says of itself, before what follows.
	 * @param news the news
	 */
	void onNews(WorkerNews news);

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
