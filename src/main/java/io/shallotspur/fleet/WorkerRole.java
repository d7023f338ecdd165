package io.shallotspur.fleet;

/**
 * The role of a worker.
 */
public enum WorkerRole {

	/**
	 * Prefills prompts, one at a time, and exports their KV cache.
	 */
	PREFILL,

	/**
	 * Imports KV caches and generates tokens for a batch of requests.
	 */
	DECODE,

	/**
	 * Serves the calls to a plain upstream.
	 */
	PLAIN

}
