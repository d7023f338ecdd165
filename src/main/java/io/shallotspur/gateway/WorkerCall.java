package io.shallotspur.gateway;

import org.jspecify.annotations.Nullable;

/**
 * One attempt to run a request at one worker. Immutable.
 *
 * @param request the caller's request
 * @param worker the worker; another instance at its address must not run the request
 * @param timeoutMs the time left for the worker, in milliseconds
 * @param priority the priority at the worker; 0 is the highest
 * @param lastEventId the event after which the response resumes, or {@code null}
 * @param kvSource the source of the prompt's KV cache, or {@code null}
 * @param reservation the reservation to use, or {@code null}
 * @param customer the customer that sent the request, or {@code null}
 */
public record WorkerCall(RelayRequest request, WorkerInfo worker, long timeoutMs, int priority,
		@Nullable String lastEventId, @Nullable KvSource kvSource, @Nullable String reservation,
		@Nullable String customer) {

	/**
	 * Returns a copy that resumes after another event.
	 * @param id the event after which the response resumes, or {@code null}
	 * @return the copy
	 */
	public WorkerCall withLastEventId(@Nullable String id) {
		return new WorkerCall(this.request, this.worker, this.timeoutMs, this.priority, id, this.kvSource,
				this.reservation, this.customer);
	}

}
