package io.shallotspur.demo;

import org.kohsuke.args4j.Option;

/**
 * Options of {@link ClusterMeasure}. Not thread-safe.
 */
public class ClusterMeasureOptions {

	/**
	 * Seed of all that is random.
	 */
	@Option(name = "--seed", usage = "seed of all that is random in the runs in virtual time")
	public long seed = 1;

	/**
	 * How many VMs are killed, and as many contracts changed, at each size.
	 */
	@Option(name = "--rounds", usage = "kills, joins, leaves and contract changes at each size")
	public int rounds = 20;

	/**
	 * Whether the runs over real connections are left out.
	 */
	@Option(name = "--virtual-only", usage = "leave out the run over loopback connections")
	public boolean virtualOnly;

}
