package io.shallotspur.replay;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/**
 * The command line of {@code replay}. Filled by args4j; not thread-safe.
 */
public class ReplayOptions {

	@Option(name = "--trace", required = true, metaVar = "FILE", usage = "requests and faults, JSON Lines")
	private @Nullable Path trace;

	@Option(name = "--fleet", required = true, metaVar = "FILE", usage = "upstreams and workers, TOML")
	private @Nullable Path fleet;

	@Option(name = "--contracts", required = true, metaVar = "FILE", usage = "contracts, TOML")
	private @Nullable Path contracts;

	@Option(name = "--policy", metaVar = "NAME", usage = "shallotspur, round-robin, p2c or p2c-prefix")
	private String policy = Policy.SHALLOTSPUR.code();

	@Option(name = "--seed", metaVar = "N", usage = "seed of all randomness")
	private long seed = 1;

	@Option(name = "--json", usage = "print one JSON object instead of a table")
	private boolean json;

	@Option(name = "--off", metaVar = "FEATURE", usage = "switch a mechanism of the scheduler off; may be repeated")
	private List<String> off = new ArrayList<>();

	@Option(name = "--load", metaVar = "FACTOR", usage = "thin or multiply the requests of the trace")
	private double load = 1;

	/**
	 * Sets the three input files.
	 * @param trace the trace
	 * @param fleet the fleet
	 * @param contracts the contracts
	 */
	public void setFiles(Path trace, Path fleet, Path contracts) {
		this.trace = trace;
		this.fleet = fleet;
		this.contracts = contracts;
	}

	/**
	 * Returns the trace.
	 * @return the file
	 */
	public Path getTrace() {
		return required(this.trace);
	}

	/**
	 * Returns the fleet.
	 * @return the file
	 */
	public Path getFleet() {
		return required(this.fleet);
	}

	/**
	 * Returns the contracts.
	 * @return the file
	 */
	public Path getContracts() {
		return required(this.contracts);
	}

	/**
	 * Returns the name of the policy.
	 * @return the name, not yet checked
	 */
	public String getPolicy() {
		return this.policy;
	}

	/**
	 * Sets the name of the policy.
	 * @param policy the name
	 */
	public void setPolicy(String policy) {
		this.policy = policy;
	}

	/**
	 * Returns the seed of all randomness.
	 * @return the seed
	 */
	public long getSeed() {
		return this.seed;
	}

	/**
	 * Sets the seed of all randomness.
	 * @param seed the seed
	 */
	public void setSeed(long seed) {
		this.seed = seed;
	}

	/**
	 * Returns whether to print JSON.
	 * @return {@code false} for a table
	 */
	public boolean isJson() {
		return this.json;
	}

	/**
	 * Sets whether to print JSON.
	 * @param json {@code false} for a table
	 */
	public void setJson(boolean json) {
		this.json = json;
	}

	/**
	 * Returns the mechanisms that are switched off.
	 * @return their names, not yet checked
	 */
	public List<String> getOff() {
		return List.copyOf(this.off);
	}

	/**
	 * Sets the mechanisms that are switched off.
	 * @param off their names
	 */
	public void setOff(List<String> off) {
		this.off = new ArrayList<>(off);
	}

	/**
	 * Returns how many requests are sent for each one of the trace.
	 * @return the factor, not yet checked
	 */
	public double getLoad() {
		return this.load;
	}

	/**
	 * Sets how many requests are sent for each one of the trace.
	 * @param load the factor
	 */
	public void setLoad(double load) {
		this.load = load;
	}

	private static Path required(@Nullable Path file) {
		if (file == null) {
			throw new IllegalStateException("args4j checks that the three files are given");
		}
		return file;
	}

}
