package io.shallotspur.gateway;

import io.shallotspur.quarantine.UnsettledRuns;

/**
 * What is known about a crash of one start of a worker. Not thread-safe; confined to the
 * gateway's thread.
 */
final class CrashEvidence {

	final UnsettledRuns runs = new UnsettledRuns();

	// The time of the latest check that found the address in use.
	long acceptedAt = Long.MIN_VALUE;

	// When the next check may be made.
	long nextCheckAt = Long.MIN_VALUE;

	// When the scheduled check is due; not in the past only if there is one.
	long checkDueAt = Long.MAX_VALUE;

	Runnable cancelCheck = () -> {
	};

	boolean crashed;

}
