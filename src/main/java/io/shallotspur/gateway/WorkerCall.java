package io.shallotspur.gateway;

import org.jspecify.annotations.Nullable;

/**
 * One attempt of a request at one worker. Immutable.
 *
 * @param request the caller's request
 * @param worker the worker; a different one at its address must not run the request
 * @param timeoutMs how long the worker may take, in milliseconds
 * @param priority the rank at the worker, 0 is the highest
 * @param lastEventId the event after which the answer goes on, or {@code null}
 * @param kvSource where the prompt's KV cache is to be fetched from, or {@code null}
 * @param reservation the reservation to be used, or {@code null}
 * @param customer the customer whose request it is, or {@code null}
 */
public record WorkerCall(RelayRequest request, WorkerInfo worker, long timeoutMs, int priority,
		@Nullable String lastEventId, @Nullable KvSource kvSource, @Nullable String reservation, @Nullable String customer) {

	/**
	 * Returns this call with another place to go on from.
	 * @param id the event after which the answer goes on, or {@code null}
	 * @return a call that differs in that only
	 */
	public WorkerCall withLastEventId(@Nullable String id) {
		return new WorkerCall(this.request, this.worker, this.timeoutMs, this.priority, id, this.kvSource, this.reservation,
				this.customer);
	}

}
