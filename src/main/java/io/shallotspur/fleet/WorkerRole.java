package io.shallotspur.fleet;

/**
 * What a worker does.
 */
public enum WorkerRole {

	/**
	 * Reads prompts and exports their KV cache, one prompt at a time.
	 */
	PREFILL,

	/**
	 * Imports KV caches and generates tokens for a batch of requests.
	 */
	DECODE,

	/**
	 * Serves the calls of a plain service.
	 */
	PLAIN

}
