package io.shallotspur.registry;

import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import org.tinylog.Logger;

import io.shallotspur.gateway.GatewayTimer;
import io.shallotspur.serving.LoadLevel;
import io.shallotspur.serving.OverloadDetector;
import io.shallotspur.serving.VmLoad;

/**
 * Samples the scheduling delay of the gateway's thread and reports when the load level of
 * the VM changes. Not thread-safe; confined to the gateway's thread.
 * <p>
 * A VM without requests never counts as overloaded. Its start uses the whole processor
 * for a second or two, and in a fleet that starts together all VMs would report an
 * overload at once.
 */
public final class VmLoadSampler {

	private final GatewayTimer timer;

	private final LongSupplier clock;

	private final IntSupplier requestsInProgress;

	private final Consumer<LoadLevel> onChange;

	private final VmLoad load;

	private boolean stopped;

	/**
	 * Creates a sampler.
	 * @param timer the gateway's timer
	 * @param clock supplies the current time in milliseconds
	 * @param requestsInProgress supplies the number of requests in progress
	 * @param load what the samples are recorded in
	 * @param onChange called with the load level, each time that it changes
	 */
	public VmLoadSampler(GatewayTimer timer, LongSupplier clock, IntSupplier requestsInProgress, VmLoad load,
			Consumer<LoadLevel> onChange) {
		this.timer = timer;
		this.clock = clock;
		this.requestsInProgress = requestsInProgress;
		this.load = load;
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
		LoadLevel before = this.load.level();
		this.load.sample((this.requestsInProgress.getAsInt() > 0) ? now - dueAt : 0, now);
		LoadLevel level = this.load.level();
		if (level != before) {
			Logger.info("[vm] crowded={} level={} in-progress={}", level != LoadLevel.NORMAL, level.ordinal(),
					this.requestsInProgress.getAsInt());
			this.onChange.accept(level);
		}
		start();
	}

}
