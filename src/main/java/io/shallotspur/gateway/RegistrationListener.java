package io.shallotspur.gateway;

/**
 * Receives the changes of this VM's registration. Called on the gateway's thread.
 */
public interface RegistrationListener {

	/**
	 * Called when this VM has registered; a former registration has ended.
	 * @param sentAt when the registration was requested, in milliseconds as in
	 * {@link Gateway#elapsedMs}
	 * @param ttlMs how long it lasts from then on unless it is renewed, in milliseconds
	 */
	void onRegistered(long sentAt, long ttlMs);

	/**
	 * Called when the registration has been renewed and had not ended before.
	 * @param sentAt when the renewal was requested, as in {@link #onRegistered}
	 * @param ttlMs as in {@link #onRegistered}
	 */
	void onRenewed(long sentAt, long ttlMs);

	/**
	 * Called when this VM gives up its registration.
	 */
	void onDeregistered();

}
