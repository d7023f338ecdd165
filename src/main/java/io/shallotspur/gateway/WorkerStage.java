package io.shallotspur.gateway;

/**
 * The stage of request processing that a worker runs.
 */
public enum WorkerStage {

	/**
	 * Serves whole requests of a plain upstream.
	 */
	PLAIN,

	/**
	 * Computes the KV cache of prompts.
	 */
	PREFILL,

	/**
	 * Generates tokens, from a fetched KV cache or from a prompt that it prefills itself.
	 */
	DECODE

}
