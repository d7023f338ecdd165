package io.shallotspur.serving;

import java.util.function.BooleanSupplier;

/**
 * The load of this VM and what follows from it: the level that it announces and the
 * callers that it releases. Not thread-safe; the current time is an argument.
 */
public final class VmLoad {

	private final OverloadDetector detector = new OverloadDetector();

	private final CallerRelease release = new CallerRelease();

	private final BooleanSupplier alternatives;

	/**
	 * Creates the load of a VM that has just started.
	 * @param alternatives whether callers are directed to other VMs that are not
	 * overloaded
	 */
	public VmLoad(BooleanSupplier alternatives) {
		this.alternatives = alternatives;
	}

	/**
	 * Samples the load; called each {@link OverloadDetector#SAMPLE_INTERVAL_MS}.
	 * @param delayMs milliseconds between the scheduled and the actual start of the
	 * sample
	 * @param now the current time in milliseconds
	 */
	public void sample(long delayMs, long now) {
		this.detector.recordDelay(delayMs, now);
		boolean overloaded = level() != LoadLevel.NORMAL && this.detector.delayed();
		this.release.update(overloaded, overloaded && this.alternatives.getAsBoolean(), now);
	}

	/**
	 * Returns the level to announce.
	 * @return the level
	 */
	public LoadLevel level() {
		return this.detector.level();
	}

	/**
	 * Returns what decides on the connections of callers.
	 * @return the same instance at each call
	 */
	public CallerRelease release() {
		return this.release;
	}

}
