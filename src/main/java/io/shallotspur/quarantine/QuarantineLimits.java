package io.shallotspur.quarantine;

/**
 * Bounds of the table of suspects and of the evidence that a quarantine needs. Immutable.
 *
 * @param maxEntries the maximum number of entries; the oldest that are not quarantined
 * are evicted first
 * @param suspectTtlMs how long a suspect is kept after its last crash, in milliseconds
 * @param quarantineTtlMs how long a quarantined request is refused after its last crash,
 * in milliseconds
 * @param sameCrashWindowMs the largest difference between the times at which two nodes
 * detect the same crash, in milliseconds
 * @param evidence the evidence that a quarantine needs
 */
public record QuarantineLimits(int maxEntries, long suspectTtlMs, long quarantineTtlMs, long sameCrashWindowMs,
		Evidence evidence) {

	/**
	 * 4096 entries, 10 minutes for suspects, 1 hour for quarantined requests, 2 seconds
	 * between observations of one crash, quarantine at the second crash.
	 */
	public static final QuarantineLimits DEFAULT = new QuarantineLimits(4096, 600_000, 3_600_000, 2_000);

	/**
	 * For workers whose names identify one start, so that each crashes at most once, and
	 * which suspects share with other requests. Quarantine at the third crash; at the
	 * sixth at the latest, as a request that crashed three workers must not reach more
	 * than three others.
	 */
	public static final QuarantineLimits SHARED_WORKERS = new QuarantineLimits(4096, 600_000, 3_600_000, 600_000,
			new Evidence(3, 6, 100, 1_000, 5));

	/**
	 * Creates limits with which the second crash quarantines a request, if no other one
	 * is as likely the cause.
	 * @param maxEntries the maximum number of entries
	 * @param suspectTtlMs how long a suspect is kept, in milliseconds
	 * @param quarantineTtlMs how long a quarantined request is refused, in milliseconds
	 * @param sameCrashWindowMs the largest difference between two observations of one
	 * crash, in milliseconds
	 */
	public QuarantineLimits(int maxEntries, long suspectTtlMs, long quarantineTtlMs, long sameCrashWindowMs) {
		this(maxEntries, suspectTtlMs, quarantineTtlMs, sameCrashWindowMs,
				new Evidence(2, Integer.MAX_VALUE, 0, 0, Integer.MAX_VALUE));
	}

	/**
	 * The evidence that a quarantine needs. Immutable.
	 *
	 * @param minCrashes the number of crashes at which the request was running and that
	 * have no other explanation; those at which it had made progress count half
	 * @param maxCrashes the number of crashes at which a request is quarantined although
	 * other requests are as likely the cause, or the crashes have other explanations
	 * @param coincidenceMs crashes of different workers within this time, in
	 * milliseconds, have a common cause, for instance a rack that loses power; a request
	 * that was not running on all of them is not that cause
	 * @param settlingMs how long after its first crash a request is quarantined at the
	 * earliest, in milliseconds: until then, only another node may know that it has made
	 * progress or completed
	 * @param decisiveCrashes the number of moments at which workers crashed after which a
	 * part of prompts is taken for the cause without having been told apart by an answer
	 */
	public record Evidence(int minCrashes, int maxCrashes, long coincidenceMs, long settlingMs, int decisiveCrashes) {

	}

}
