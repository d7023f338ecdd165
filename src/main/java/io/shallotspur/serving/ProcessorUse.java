package io.shallotspur.serving;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Measures which share of its processor the VM uses. Not thread-safe; the current time is
 * an argument.
 */
public final class ProcessorUse {

	private final LongSupplier cpuNanos;

	private final double cores;

	private long lastCpuNanos = Long.MIN_VALUE;

	private long lastAt;

	private double lastUse;

	/**
	 * Creates an instance.
	 * @param cpuNanos supplies the processor time used so far in nanoseconds; negative if
	 * unknown
	 * @param cores processor cores available to the VM; may be fractional
	 */
	public ProcessorUse(LongSupplier cpuNanos, double cores) {
		this.cpuNanos = cpuNanos;
		this.cores = cores;
	}

	/**
	 * Returns the use since the previous call.
	 * @param now the current time in milliseconds
	 * @return a share from 0; 0 at the first call and if the processor time is unknown
	 */
	double sample(long now) {
		long cpu = this.cpuNanos.getAsLong();
		double available = TimeUnit.MILLISECONDS.toNanos(now - this.lastAt) * this.cores;
		boolean known = this.lastCpuNanos >= 0 && cpu >= 0 && available > 0;
		this.lastUse = known ? (cpu - this.lastCpuNanos) / available : 0;
		this.lastCpuNanos = cpu;
		this.lastAt = now;
		return this.lastUse;
	}

	/**
	 * Returns the use between the two latest samples.
	 * @return a share from 0
	 */
	public double last() {
		return this.lastUse;
	}

}
