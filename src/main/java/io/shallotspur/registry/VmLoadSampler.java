package io.shallotspur.registry;

import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import org.tinylog.Logger;

import io.shallotspur.gateway.GatewayTimer;
import io.shallotspur.gateway.OverloadDetector;

/**
 * Samples how late the gateway's thread runs what is due, and has the others told when
 * callers wait for it. Not thread-safe; confined to the gateway's thread.
 * <p>
 * A VM without requests is never crowded: its start takes all of its processor for a
 * second or two, and a fleet that starts together would tell so all at once.
 */
public final class VmLoadSampler {

	private final GatewayTimer timer;

	private final LongSupplier clock;

	private final IntSupplier inProgress;

	private final Consumer<Boolean> onChange;

	private final OverloadDetector load = new OverloadDetector();

	private boolean stopped;

	/**
	 * Creates a sampler.
	 * @param timer the gateway's timer
	 * @param clock the present time in milliseconds
	 * @param inProgress the requests in progress
	 * @param onChange told whether callers wait, each time that changes
	 */
	public VmLoadSampler(GatewayTimer timer, LongSupplier clock, IntSupplier inProgress, Consumer<Boolean> onChange) {
		this.timer = timer;
		this.clock = clock;
		this.inProgress = inProgress;
		this.onChange = onChange;
	}

	/**
	 * Begins to sample.
	 */
	public void start() {
		long due = this.clock.getAsLong() + OverloadDetector.SAMPLE_INTERVAL_MS;
		this.timer.schedule(OverloadDetector.SAMPLE_INTERVAL_MS, () -> sample(due));
	}

	/**
	 * Stops sampling.
	 */
	public void stop() {
		this.stopped = true;
	}

	private void sample(long due) {
		if (this.stopped) {
			return;
		}
		long now = this.clock.getAsLong();
		boolean before = this.load.overloaded();
		this.load.recordDelay((this.inProgress.getAsInt() > 0) ? now - due : 0, now);
		if (this.load.overloaded() != before) {
			Logger.info("[vm] crowded={} in-progress={}", this.load.overloaded(), this.inProgress.getAsInt());
			this.onChange.accept(this.load.overloaded());
		}
		start();
	}

}
