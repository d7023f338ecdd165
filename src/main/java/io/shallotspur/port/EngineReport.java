package io.shallotspur.port;

/**
 * What a worker publishes about itself. Reports come late and with gaps.
 */
public sealed interface EngineReport {

	/**
	 * The load of the worker.
	 *
	 * @param active requests that hold memory
	 * @param slots requests that its memory can hold
	 * @param stepMs length of the last decode step in milliseconds; 0 for other roles
	 * @param measuredAt when it was measured, in milliseconds
	 */
	record Load(int active, int slots, double stepMs, long measuredAt) implements EngineReport {

	}

	/**
	 * A block entered or left the prefix cache.
	 *
	 * @param sequence rises by one with each event of the worker
	 * @param block hash of the block
	 * @param stored {@code true} if it entered
	 */
	record Cache(long sequence, long block, boolean stored) implements EngineReport {

	}

}
