package io.shallotspur.demo;

import org.kohsuke.args4j.Option;

/**
 * Options of the relay measurement. A bean that args4j fills; not thread-safe.
 */
public final class RelayOptions {

	@Option(name = "--streams", metaVar = "N", usage = "answers that are streamed at a time (default 1000)")
	private int streams = 1000;

	@Option(name = "--interval-ms", metaVar = "MS", usage = "time between the writes of an engine stream (default 50)")
	private int intervalMs = 50;

	@Option(name = "--burst", metaVar = "N", usage = "tokens in each write of an engine stream (default 1)")
	private int burst = 1;

	@Option(name = "--seconds", metaVar = "N", usage = "how long is measured, after 10 s of warm-up (default 10)")
	private int seconds = 10;

	/**
	 * Returns the answers that are streamed at a time.
	 * @return the number
	 */
	public int getStreams() {
		return this.streams;
	}

	/**
	 * Sets the answers that are streamed at a time.
	 * @param streams the number
	 */
	public void setStreams(int streams) {
		this.streams = streams;
	}

	/**
	 * Returns the time between the writes of an engine stream.
	 * @return milliseconds
	 */
	public int getIntervalMs() {
		return this.intervalMs;
	}

	/**
	 * Returns the tokens in each write of an engine stream.
	 * @return the number
	 */
	public int getBurst() {
		return this.burst;
	}

	/**
	 * Returns how long is measured.
	 * @return seconds
	 */
	public int getSeconds() {
		return this.seconds;
	}

	/**
	 * Sets how long is measured.
	 * @param seconds seconds
	 */
	public void setSeconds(int seconds) {
		this.seconds = seconds;
	}

}
