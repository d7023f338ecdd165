package io.shallotspur.serving;

/**
 * Detects from event-loop delay and processor use whether requests wait for the processor
 * of this VM. Not thread-safe; the current time is an argument.
 * <p>
 * All work of a VM runs on one event loop, so the delay of one task is the delay of
 * everything else on the loop. A request passes the loop many times, so callers notice a
 * delay long before the loop does; processor use rises earlier and tells a brief pause
 * from lasting load. Use without delay is no overload. Hysteresis keeps short bursts from
 * changing the level, because each change is announced to all VMs.
 */
public final class OverloadDetector {

	/** Sampling interval, in milliseconds. */
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

	// From this share of its processor on, the wait for it grows faster than the load.
	private static final double HIGH_USE = 0.7;

	// Up to this use the VM may recover: if it then has to serve twice as many callers,
	// its
	// use is not high.
	private static final double RECOVERY_USE = HIGH_USE / 2;

	// The rest goes to compilation and garbage collection on other threads.
	private static final double FULL_USE = 0.9;

	// A low delay for this long is expected to last, ms: the length of a burst.
	private static final long RECOVERY_PERIOD_MS = 10_000;

	private double meanDelayMs;

	private double meanUse;

	private LoadLevel level = LoadLevel.NORMAL;

	private long lowSince = Long.MIN_VALUE;

	/**
	 * Records a sample.
	 * @param delayMs milliseconds between the scheduled and the actual start of a task
	 * @param use the share of its processor that the VM has used since the last sample; 0
	 * if unknown
	 * @param now the current time in milliseconds
	 */
	public void record(long delayMs, double use, long now) {
		this.meanDelayMs += SMOOTHING_FACTOR * (delayMs - this.meanDelayMs);
		this.meanUse += SMOOTHING_FACTOR * (use - this.meanUse);
		LoadLevel measured = measuredLevel();
		if (measured.compareTo(this.level) > 0) {
			this.level = measured;
		}
		recover(now);
	}

	private LoadLevel measuredLevel() {
		if (this.meanDelayMs > OVERLOAD_DELAY_MS) {
			return (this.meanUse >= FULL_USE) ? LoadLevel.SATURATED : LoadLevel.OVERLOADED;
		}
		return (delayed() && this.meanUse >= HIGH_USE) ? LoadLevel.OVERLOADED : LoadLevel.NORMAL;
	}

	// One level at a time: each halves the set of serving VMs at most.
	private void recover(long now) {
		if (delayed() || this.meanUse > RECOVERY_USE) {
			this.lowSince = Long.MIN_VALUE;
			return;
		}
		if (this.lowSince == Long.MIN_VALUE) {
			this.lowSince = now;
		}
		if (now - this.lowSince >= RECOVERY_PERIOD_MS) {
			this.level = this.level.lower();
			this.lowSince = now;
		}
	}

	/**
	 * Returns whether requests wait for the processor at present.
	 * @return {@code false} as soon as the delay is low
	 */
	public boolean delayed() {
		return this.meanDelayMs > RECOVERY_DELAY_MS;
	}

	/**
	 * Returns the load of this VM.
	 * @return the highest level measured since the last recovery; it falls by one level
	 * each time that delay and use have been low for a whole recovery period
	 */
	public LoadLevel level() {
		return this.level;
	}

}
