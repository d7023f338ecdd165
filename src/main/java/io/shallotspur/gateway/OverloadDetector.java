package io.shallotspur.gateway;

/**
 * Decides whether callers wait for the processor of this VM. Not thread-safe; the present
 * time is an argument.
 * <p>
 * All of a VM runs on one event loop, so a task that runs late by some time tells that
 * everything else on the loop waits as long. Hysteresis keeps a VM from changing what it
 * says of itself with each burst: a change is told to all VMs.
 */
public final class OverloadDetector {

	/** How often lateness is sampled, in milliseconds. */
	public static final long SAMPLE_INTERVAL_MS = 250;

	// A relayed request passes the loop some ten times, so this lateness adds a fifth of
	// a second to it, ms.
	private static final double OVERLOAD_DELAY_MS = 20;

	// With twice the VMs each has half the load; the lateness of a queue falls by more.
	private static final double RECOVERY_DELAY_MS = 4;

	// The mean of the last two seconds or so: classes that are loaded, or one large
	// collection, are over by then.
	private static final double SMOOTHING_FACTOR = 0.125;

	// A VM that has room for so long will have it a while longer, ms: a burst's length.
	private static final long RECOVERY_PERIOD_MS = 10_000;

	private double meanDelayMs;

	private boolean overloaded;

	private long lowDelaySince = Long.MIN_VALUE;

	/**
	 * Takes how late a task ran.
	 * @param ms milliseconds after its time
	 * @param now the present time in milliseconds
	 */
	public void recordDelay(long ms, long now) {
		this.meanDelayMs += SMOOTHING_FACTOR * (ms - this.meanDelayMs);
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
	 * Tells whether callers wait.
	 * @return {@code true} from the time that they do until it is long over
	 */
	public boolean overloaded() {
		return this.overloaded;
	}

}
