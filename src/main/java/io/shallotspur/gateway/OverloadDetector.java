package io.shallotspur.gateway;

/**
 * Detects from event-loop delay whether requests wait for the processor of this VM. Not
 * thread-safe; the current time is an argument.
 * <p>
 * All work of a VM runs on one event loop, so the delay of one task is the delay of
 * everything else on the loop. Hysteresis keeps short bursts from changing the status,
 * because each change is announced to all VMs.
 */
public final class OverloadDetector {

	/** Sampling interval of the delay, in milliseconds. */
	public static final long SAMPLE_INTERVAL_MS = 250;

	// A relayed request passes the loop about ten times, so this delay adds 200 ms to
	// it, ms.
	private static final double OVERLOAD_DELAY_MS = 20;

	// Up to this mean delay the VM may recover, ms. It is far below half of the overload
	// delay: when callers move to twice as many VMs, the delay drops by more than half,
	// and that drop alone must not count as recovery.
	private static final double RECOVERY_DELAY_MS = 4;

	// Averages over about two seconds, so that class loading or a single long garbage
	// collection does not count as overload.
	private static final double SMOOTHING_FACTOR = 0.125;

	// A low delay for this long is expected to last, ms: the length of a burst.
	private static final long RECOVERY_PERIOD_MS = 10_000;

	private double meanDelayMs;

	private boolean overloaded;

	private long lowDelaySince = Long.MIN_VALUE;

	/**
	 * Records the delay of a task.
	 * @param delayMs milliseconds between its scheduled and its actual start
	 * @param now the current time in milliseconds
	 */
	public void recordDelay(long delayMs, long now) {
		this.meanDelayMs += SMOOTHING_FACTOR * (delayMs - this.meanDelayMs);
		if (this.meanDelayMs > OVERLOAD_DELAY_MS) {
			this.overloaded = true;
		}
		if (this.meanDelayMs > RECOVERY_DELAY_MS) {
			this.lowDelaySince = Long.MIN_VALUE;
			return;
		}
		if (this.lowDelaySince == Long.MIN_VALUE) {
			this.lowDelaySince = now;
		}
		if (now - this.lowDelaySince >= RECOVERY_PERIOD_MS) {
			this.overloaded = false;
		}
	}

	/**
	 * Returns whether this VM is overloaded.
	 * @return {@code true} from the detection of overload until the delay has been low
	 * for a whole recovery period
	 */
	public boolean overloaded() {
		return this.overloaded;
	}

}
