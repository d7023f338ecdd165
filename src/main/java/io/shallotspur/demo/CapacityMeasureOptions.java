package io.shallotspur.demo;

import org.kohsuke.args4j.Option;

/**
 * Options of the measurement of capacity.
 */
public class CapacityMeasureOptions {

	/**
	 * Part of the sizes.
	 */
	@Option(name = "--scale", usage = "part of the full sizes, over 0 and at most 1")
	public double scale = 1;

	/**
	 * Seed.
	 */
	@Option(name = "--seed", usage = "seed of all that is random")
	public long seed = 1;

	/**
	 * Members of the largest fleet in virtual time.
	 */
	@Option(name = "--members", usage = "members of the largest fleet in virtual time, at least 12")
	public int members = 200;

}
