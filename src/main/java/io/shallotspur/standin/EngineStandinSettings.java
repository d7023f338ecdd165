package io.shallotspur.standin;

import java.util.List;

import io.shallotspur.fleet.Worker;

/**
 * What an engine stand-in imitates. Immutable.
 *
 * @param host the address to listen on
 * @param port the port, or 0 for any that is free
 * @param workers the workers; their addresses are ignored
 * @param prefillMsPerToken how long a prefill worker computes a token, in milliseconds
 * @param stepBaseMs the length of an empty decode step, in milliseconds
 * @param stepMsPerRequest added to a step by each request, in milliseconds
 * @param reportEveryMs how often load is reported, in milliseconds
 * @param lagMs how late reports and cache events come, in milliseconds
 * @param cacheGapEvery of so many cache events one is lost; 0 for none
 * @param checkFencing whether orders with an old fencing number are refused
 * @param keepTextMs how long a finished answer is kept for a resume, in milliseconds
 */
public record EngineStandinSettings(String host, int port, List<Worker> workers, double prefillMsPerToken,
		double stepBaseMs, double stepMsPerRequest, long reportEveryMs, long lagMs, int cacheGapEvery,
		boolean checkFencing, long keepTextMs) {

	/**
	 * Returns settings with the speeds of a small engine: 0.02 ms a token of a prompt, 10
	 * ms steps plus 0.2 ms for each request, reports every 200 ms that come 50 ms late,
	 * one cache event of 50 lost, fencing checked, answers kept for 10 s.
	 * @param workers the workers
	 * @return the settings, on any free port of 127.0.0.1
	 */
	public static EngineStandinSettings small(List<Worker> workers) {
		return new EngineStandinSettings("127.0.0.1", 0, List.copyOf(workers), 0.02, 10, 0.2, 200, 50, 50, true,
				10_000);
	}

	/**
	 * Returns the same with other speeds.
	 * @param perToken for a token of a prompt, in milliseconds
	 * @param stepBase for an empty step, in milliseconds
	 * @param perRequest added to a step by each request, in milliseconds
	 * @return new settings
	 */
	public EngineStandinSettings withSpeeds(double perToken, double stepBase, double perRequest) {
		return new EngineStandinSettings(this.host, this.port, this.workers, perToken, stepBase, perRequest,
				this.reportEveryMs, this.lagMs, this.cacheGapEvery, this.checkFencing, this.keepTextMs);
	}

	/**
	 * Returns the same on another address.
	 * @param host the address
	 * @param port the port, or 0 for any that is free
	 * @return new settings
	 */
	public EngineStandinSettings withListen(String host, int port) {
		return new EngineStandinSettings(host, port, this.workers, this.prefillMsPerToken, this.stepBaseMs,
				this.stepMsPerRequest, this.reportEveryMs, this.lagMs, this.cacheGapEvery, this.checkFencing,
				this.keepTextMs);
	}

	/**
	 * Returns the same with or without the fencing check.
	 * @param checkFencing whether orders with an old fencing number are refused
	 * @return new settings
	 */
	public EngineStandinSettings withCheckFencing(boolean checkFencing) {
		return new EngineStandinSettings(this.host, this.port, this.workers, this.prefillMsPerToken, this.stepBaseMs,
				this.stepMsPerRequest, this.reportEveryMs, this.lagMs, this.cacheGapEvery, checkFencing,
				this.keepTextMs);
	}

}
