package io.shallotspur.quarantine;

/**
 * Bounds of the table of suspects. Immutable.
 *
 * @param maxEntries the maximum number of entries; the oldest that are not quarantined
 * are evicted first
 * @param suspectTtlMs how long a suspect is kept after its last crash, in milliseconds
 * @param quarantineTtlMs how long a quarantined request is refused after its last crash,
 * in milliseconds
 * @param sameCrashWindowMs the largest difference between the times at which two nodes
 * detect the same crash, in milliseconds
 */
public record QuarantineLimits(int maxEntries, long suspectTtlMs, long quarantineTtlMs, long sameCrashWindowMs) {

	/**
	 * 4096 entries, 10 minutes for suspects, 1 hour for quarantined requests, 2 seconds
	 * between observations of one crash.
	 */
	public static final QuarantineLimits DEFAULT = new QuarantineLimits(4096, 600_000, 3_600_000, 2_000);

}
