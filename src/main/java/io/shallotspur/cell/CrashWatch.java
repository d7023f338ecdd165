package io.shallotspur.cell;

import java.util.Collection;
import java.util.Set;

/**
 * Finds out which requests crash the workers that run them. The scheduler tells what ran
 * at a crash and what completed, and keeps suspects apart.
 */
public interface CrashWatch {

	/**
	 * Takes the crash of a worker.
	 * @param workerId the worker
	 * @param runningFingerprints the fingerprints of the requests that were on it
	 * @param now the present time in milliseconds
	 * @return the fingerprints that are quarantined because of this crash
	 */
	Set<Long> workerCrashed(String workerId, Collection<Long> runningFingerprints, long now);

	/**
	 * Returns whether a request must not be run again.
	 * @param fingerprint the fingerprint
	 * @param now the present time in milliseconds
	 * @return whether it is quarantined
	 */
	boolean isQuarantined(long fingerprint, long now);

	/**
	 * Returns whether a request ran on a crashed worker and has not completed since.
	 * @param fingerprint the fingerprint
	 * @param now the present time in milliseconds
	 * @return whether it is a suspect
	 */
	boolean isSuspect(long fingerprint, long now);

	/**
	 * Takes a request that completed, or ran past the point at which it stood at the
	 * crash.
	 * @param fingerprint the fingerprint
	 * @param now the present time in milliseconds
	 */
	void completed(long fingerprint, long now);

}
