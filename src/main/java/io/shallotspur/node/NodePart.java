package io.shallotspur.node;

import reactor.core.publisher.Mono;

/**
 * A part of an entry VM with a life-cycle of its own, such as the membership or the
 * operators' HTTP. Implementations are thread-safe.
 */
public interface NodePart {

	/**
	 * Starts. Called before callers are let in, in the order of the parts.
	 * @return completes when the part works
	 */
	Mono<Void> start();

	/**
	 * Makes it known that the VM is leaving. Called before new work is refused.
	 * @return completes when the others have been told
	 */
	default Mono<Void> drain() {
		return Mono.empty();
	}

	/**
	 * Stops. Called when the last request has ended, in reverse order of the parts.
	 * @return completes when nothing is left running
	 */
	Mono<Void> close();

}
