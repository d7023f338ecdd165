package io.shallotspur.demo;

import java.nio.file.Path;

import org.kohsuke.args4j.Option;

/**
 * The command line of the ledger measurement. Filled by args4j; not thread-safe.
 */
public class LedgerMeasureOptions {

	@Option(name = "--seconds", metaVar = "N", usage = "virtual seconds at each request rate")
	private int seconds = 10;

	@Option(name = "--seed", metaVar = "N", usage = "the source of randomness")
	private long seed = 1;

	@Option(name = "--out", metaVar = "DIR", usage = "where ledger.md goes")
	private Path out = Path.of("docs/measurements");

	/**
	 * Returns how long each request rate is kept up.
	 * @return the time in virtual seconds
	 */
	public int getSeconds() {
		return this.seconds;
	}

	/**
	 * Sets how long each request rate is kept up.
	 * @param seconds the time in virtual seconds
	 */
	public void setSeconds(int seconds) {
		this.seconds = seconds;
	}

	/**
	 * Returns the source of randomness.
	 * @return the seed
	 */
	public long getSeed() {
		return this.seed;
	}

	/**
	 * Sets the source of randomness.
	 * @param seed the seed
	 */
	public void setSeed(long seed) {
		this.seed = seed;
	}

	/**
	 * Returns where the results go.
	 * @return the directory
	 */
	public Path getOut() {
		return this.out;
	}

	/**
	 * Sets where the results go.
	 * @param out the directory
	 */
	public void setOut(Path out) {
		this.out = out;
	}

}
