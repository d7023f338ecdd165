package io.shallotspur.gateway;

/**
 * Decides whether callers wait for the processor of this VM. Not thread-safe; the present
 * time is an argument.
 * <p>
 * All of a VM runs on one event loop, so a task that runs late by some time tells that
 * everything else on the loop waits as long. Hysteresis keeps a VM from changing what it
 * says of itself with each burst: a change is told to all VMs.
 */
public final class VmLoad {

	/** How often lateness is sampled, in milliseconds. */
	public static final long SAMPLE_MS = 250;

	// A relayed request passes the loop some ten times, so this lateness adds a fifth of
	// a second to it, ms.
	private static final double CROWDED_MS = 20;

	// With twice the VMs each has half the load; the lateness of a queue falls by more.
	private static final double ROOM_MS = 4;

	// The mean of the last two seconds or so: classes that are loaded, or one large
	// collection, are over by then.
	private static final double WEIGHT = 0.125;

	// A VM that has room for so long will have it a while longer, ms: a burst's length.
	private static final long ROOM_FOR_MS = 10_000;

	private double lateMs;

	private boolean crowded;

	private long calmSince = Long.MIN_VALUE;

	/**
	 * Takes how late a task ran.
	 * @param ms milliseconds after its time
	 * @param now the present time in milliseconds
	 */
	public void late(long ms, long now) {
		this.lateMs += WEIGHT * (ms - this.lateMs);
		if (this.lateMs > CROWDED_MS) {
			this.crowded = true;
		}
		if (this.lateMs > ROOM_MS) {
			this.calmSince = Long.MIN_VALUE;
			return;
		}
		if (this.calmSince == Long.MIN_VALUE) {
			this.calmSince = now;
		}
		if (now - this.calmSince >= ROOM_FOR_MS) {
			this.crowded = false;
		}
	}

	/**
	 * Tells whether callers wait.
	 * @return {@code true} from the time that they do until it is long over
	 */
	public boolean crowded() {
		return this.crowded;
	}

}
