package io.shallotspur.registry;

import java.util.List;

/**
 * What a VM has published about one request that was running on workers that crashed.
 * Immutable.
 *
 * @param fingerprint the fingerprint of the request
 * @param crashes the crashes
 */
public record SuspectReport(long fingerprint, List<CrashReport> crashes) {

	/**
	 * Creates a report; the list is copied.
	 */
	public SuspectReport {
		crashes = List.copyOf(crashes);
	}

	/**
	 * One crash. VMs have no common clock, so the time is an age. Immutable.
	 *
	 * @param worker the name of the instance of the worker
	 * @param ageMs how long before the publication it was detected, in milliseconds
	 * @param state what it indicates about the request, a name of
	 * {@link io.shallotspur.quarantine.CrashState}
	 */
	public record CrashReport(String worker, long ageMs, String state) {

	}

}
