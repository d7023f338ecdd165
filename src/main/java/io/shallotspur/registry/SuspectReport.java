package io.shallotspur.registry;

import java.util.List;

/**
 * What a VM has published about one request that was running on workers that crashed, or
 * about a part that the prompts of such requests share. Immutable.
 *
 * @param fingerprint the fingerprint of the request or the part
 * @param crashes the crashes
 * @param parts for a request the fingerprints of the shared parts of its prompt, in their
 * order
 * @param customers for a part its fingerprints in the prompts of the customers whose
 * requests were running at the crashes; empty for a request
 */
public record SuspectReport(long fingerprint, List<CrashReport> crashes, List<Long> parts, List<Long> customers) {

	/**
	 * Creates a report; the lists are copied.
	 */
	public SuspectReport {
		crashes = List.copyOf(crashes);
		parts = List.copyOf(parts);
		customers = List.copyOf(customers);
	}

	/**
	 * Creates a report about a request that shares nothing with others.
	 * @param fingerprint the fingerprint of the request
	 * @param crashes the crashes
	 */
	public SuspectReport(long fingerprint, List<CrashReport> crashes) {
		this(fingerprint, crashes, List.of(), List.of());
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
