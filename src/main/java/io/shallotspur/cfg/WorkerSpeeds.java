package io.shallotspur.cfg;

/**
 * How fast a stand-in of a worker works. Speeds that its role does not have are 0.
 * Immutable.
 *
 * @param worker the id of the worker
 * @param prefillMsPerToken prefill: time for a token that is not cached, in milliseconds
 * @param stepBaseMs decode: length of an empty step, in milliseconds
 * @param stepMsPerRequest decode: added to a step by each request, in milliseconds
 * @param serviceMs plain: time for a call, in milliseconds
 */
public record WorkerSpeeds(String worker, double prefillMsPerToken, double stepBaseMs, double stepMsPerRequest,
		long serviceMs) {

}
