package io.shallotspur.quarantine;

/**
 * The requests of a {@link CrashSimulation}.
 */
interface CrashWorkload {

	/**
	 * Returns an innocent request.
	 * @param n its number, from 1
	 * @return the request
	 */
	RequestIdentity innocent(int n);

	/**
	 * Returns a request that crashes workers.
	 * @param cause the number of the cause, from 1
	 * @param n the number of requests with this cause before
	 * @return the request; with the same fingerprint if the cause is the request itself
	 */
	RequestIdentity crashing(int cause, int n);

}
