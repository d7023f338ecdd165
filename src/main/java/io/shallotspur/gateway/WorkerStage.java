package io.shallotspur.gateway;

/**
 * What a worker does.
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
