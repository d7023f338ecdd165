package io.shallotspur.quarantine;

/**
 * Bounds of the table of suspects. Immutable.
 *
 * @param maxEntries the most requests remembered; the oldest that are not refused go
 * first
 * @param suspectTtlMs how long a suspect is remembered after its last crash, in milliseconds
 * @param quarantineTtlMs how long a request is refused after its last crash, in milliseconds
 * @param sameCrashWindowMs how far apart two nodes may notice one crash, in milliseconds
 */
public record QuarantineLimits(int maxEntries, long suspectTtlMs, long quarantineTtlMs, long sameCrashWindowMs) {

	/**
	 * 4096 entries, suspects for ten minutes, quarantine for an hour.
	 */
	public static final QuarantineLimits DEFAULT = new QuarantineLimits(4096, 600_000, 3_600_000, 2_000);

}
