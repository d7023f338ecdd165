package io.shallotspur.registry;

import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import org.tinylog.Logger;

import io.shallotspur.gateway.GatewayTimer;
import io.shallotspur.gateway.OverloadDetector;

/**
 * Samples the scheduling delay of the gateway's thread and reports when the VM becomes
 * overloaded, or no longer is. Not thread-safe; confined to the gateway's thread.
 * <p>
 * A VM without requests never counts as overloaded. Its start uses the whole processor
 * for a second or two, and in a fleet that starts together all VMs would report an
 * overload at once.
 */
public final class VmLoadSampler {

	private final GatewayTimer timer;

	private final LongSupplier clock;

	private final IntSupplier requestsInProgress;

	private final Consumer<Boolean> onChange;

	private final OverloadDetector load = new OverloadDetector();

	private boolean stopped;

	/**
	 * Creates a sampler.
	 * @param timer the gateway's timer
	 * @param clock supplies the current time in milliseconds
	 * @param requestsInProgress supplies the number of requests in progress
	 * @param onChange called with whether the VM is overloaded, each time that changes
	 */
	public VmLoadSampler(GatewayTimer timer, LongSupplier clock, IntSupplier requestsInProgress,
			Consumer<Boolean> onChange) {
		this.timer = timer;
		this.clock = clock;
		this.requestsInProgress = requestsInProgress;
		this.onChange = onChange;
	}

	/**
	 * Starts sampling.
	 */
	public void start() {
		long dueAt = this.clock.getAsLong() + OverloadDetector.SAMPLE_INTERVAL_MS;
		this.timer.schedule(OverloadDetector.SAMPLE_INTERVAL_MS, () -> sample(dueAt));
	}

	/**
	 * Stops sampling.
	 */
	public void stop() {
		this.stopped = true;
	}

	private void sample(long dueAt) {
		if (this.stopped) {
			return;
		}
		long now = this.clock.getAsLong();
		boolean before = this.load.overloaded();
		this.load.recordDelay((this.requestsInProgress.getAsInt() > 0) ? now - dueAt : 0, now);
		if (this.load.overloaded() != before) {
			Logger.info("[vm] crowded={} in-progress={}", this.load.overloaded(), this.requestsInProgress.getAsInt());
			this.onChange.accept(this.load.overloaded());
		}
		start();
	}

}
