package io.shallotspur.serving;

/**
 * Detects from event-loop delay how much requests wait for the processor of this VM. Not
 * thread-safe; the current time is an argument.
 * <p>
 * All work of a VM runs on one event loop, so the delay of one task is the delay of
 * everything else on the loop. Hysteresis keeps short bursts from changing the level,
 * because each change is announced to all VMs. A level that returns soon after a recovery
 * is kept for longer the next time: the delay was low because other VMs took the load,
 * not because there was less of it.
 */
public final class OverloadDetector {

	/** Sampling interval of the delay, in milliseconds. */
	public static final long SAMPLE_INTERVAL_MS = 250;

	// Above this mean delay the VM is overloaded, ms. A relayed request passes the loop
	// about ten times and takes 100 ms longer: a third of the time in which callers
	// expect a plain response.
	private static final double OVERLOAD_DELAY_MS = 10;

	// Above this mean delay the VM is saturated, ms: it takes up most of that time.
	private static final double SATURATION_DELAY_MS = 20;

	// Up to this mean delay the VM may recover, ms. It is below half of the overload
	// delay: when callers move to twice as many VMs, the delay drops by more than half,
	// and that drop alone must not count as recovery.
	private static final double RECOVERY_DELAY_MS = 4;

	// Averages over about two seconds, so that class loading or a single long garbage
	// collection does not count as overload.
	private static final double SMOOTHING_FACTOR = 0.125;

	// A single sample counts for no more than this, ms: one pause is no overload.
	private static final double MAX_SAMPLE_MS = OVERLOAD_DELAY_MS / SMOOTHING_FACTOR;

	// A low delay for this long is expected to last, ms: the length of a burst.
	private static final long MIN_RECOVERY_PERIOD_MS = 10_000;

	private static final long MAX_RECOVERY_PERIOD_MS = 80_000;

	private double meanDelayMs;

	private LoadLevel level = LoadLevel.NORMAL;

	private long lowDelaySince = Long.MIN_VALUE;

	private long recoveryPeriodMs = MIN_RECOVERY_PERIOD_MS;

	private long recoveredAt = Long.MIN_VALUE / 2;

	/**
	 * Records the delay of a task.
	 * @param delayMs milliseconds between its scheduled and its actual start
	 * @param now the current time in milliseconds
	 */
	public void recordDelay(long delayMs, long now) {
		this.meanDelayMs += SMOOTHING_FACTOR * (Math.min(MAX_SAMPLE_MS, delayMs) - this.meanDelayMs);
		LoadLevel measured = measuredLevel();
		if (measured.compareTo(this.level) > 0) {
			rise(measured, now);
		}
		recover(now);
	}

	private LoadLevel measuredLevel() {
		if (this.meanDelayMs > SATURATION_DELAY_MS) {
			return LoadLevel.SATURATED;
		}
		return (this.meanDelayMs > OVERLOAD_DELAY_MS) ? LoadLevel.OVERLOADED : LoadLevel.NORMAL;
	}

	private void rise(LoadLevel measured, long now) {
		long sinceRecovery = now - this.recoveredAt;
		if (this.level == LoadLevel.NORMAL || sinceRecovery < this.recoveryPeriodMs) {
			this.recoveryPeriodMs = (sinceRecovery < this.recoveryPeriodMs)
					? Math.min(MAX_RECOVERY_PERIOD_MS, 2 * this.recoveryPeriodMs) : MIN_RECOVERY_PERIOD_MS;
		}
		this.recoveredAt = Long.MIN_VALUE / 2;
		this.level = measured;
	}

	// One level at a time, so that not all of the VMs added are dropped at once.
	private void recover(long now) {
		if (delayed()) {
			this.lowDelaySince = Long.MIN_VALUE;
			return;
		}
		if (this.lowDelaySince == Long.MIN_VALUE) {
			this.lowDelaySince = now;
		}
		if (this.level != LoadLevel.NORMAL && now - this.lowDelaySince >= this.recoveryPeriodMs) {
			this.level = this.level.lower();
			this.recoveredAt = now;
			this.lowDelaySince = now;
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
	 * each time that the delay has been low for a whole recovery period
	 */
	public LoadLevel level() {
		return this.level;
	}

}
