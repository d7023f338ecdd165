package io.shallotspur.demo;

import org.kohsuke.args4j.Option;

/**
 * Options of the demonstration. A bean that args4j fills; not thread-safe.
 */
public final class DemoOptions {

	@Option(name = "--seconds", metaVar = "N", usage = "how long traffic is sent (default 10)")
	private int seconds = 10;

	@Option(name = "--keep", usage = "leave everything running and print curl lines to try")
	private boolean keep;

	@Option(name = "--json", usage = "print the result as one JSON object")
	private boolean json;

	@Option(name = "--seed", metaVar = "N", usage = "seed of the traffic (default 1)")
	private long seed = 1;

	/**
	 * Returns how long traffic is sent.
	 * @return seconds
	 */
	public int getSeconds() {
		return this.seconds;
	}

	/**
	 * Sets how long traffic is sent.
	 * @param seconds seconds
	 */
	public void setSeconds(int seconds) {
		this.seconds = seconds;
	}

	/**
	 * Returns whether everything is left running.
	 * @return whether it is
	 */
	public boolean isKeep() {
		return this.keep;
	}

	/**
	 * Returns whether the result is printed as JSON.
	 * @return whether it is
	 */
	public boolean isJson() {
		return this.json;
	}

	/**
	 * Sets whether the result is printed as JSON.
	 * @param json whether it is
	 */
	public void setJson(boolean json) {
		this.json = json;
	}

	/**
	 * Returns the seed of the traffic.
	 * @return the seed
	 */
	public long getSeed() {
		return this.seed;
	}

}
