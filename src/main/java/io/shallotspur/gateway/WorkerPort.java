package io.shallotspur.gateway;

import java.util.function.Consumer;

/**
 * Client of the workers. Methods do not block and are called on the gateway's thread.
 */
public interface WorkerPort {

	/**
	 * Runs a request.
	 * @param call the call
	 * @param listener receives the response
	 * @return the call in progress
	 */
	Exchange run(WorkerCall call, ExchangeListener listener);

	/**
	 * Prefills the prompt of a request without generating tokens.
	 * @param call the call
	 * @param listener receives the result
	 * @return the call in progress
	 */
	Exchange prefill(WorkerCall call, PrefillListener listener);

	/**
	 * Releases a KV cache that will not be fetched.
	 * @param source the KV cache
	 */
	void releaseKvCache(KvSource source);

	/**
	 * Reserves a slot and memory at a worker.
	 * @param worker the worker
	 * @param tokens the memory, in tokens
	 * @param ttlMs how long the reservation lasts, in milliseconds
	 * @param listener receives the result
	 */
	void reserve(WorkerInfo worker, int tokens, long ttlMs, ReservationListener listener);

	/**
	 * Cancels a reservation that will not be used.
	 * @param worker the worker
	 * @param reservation the reservation
	 */
	void cancelReservation(WorkerInfo worker, String reservation);

	/**
	 * Checks whether a process listens at the address of a worker, without sending it a
	 * request.
	 * @param worker the worker
	 * @param callback receives how the address responds
	 */
	void checkListening(WorkerInfo worker, Consumer<ListenState> callback);

	/**
	 * Checks whether another VM reaches a worker.
	 * @param vm the VM
	 * @param worker the worker
	 * @param callback receives how the worker's address responds to that VM;
	 * {@link ListenState#NO_RESPONSE} also if the VM itself does not respond
	 */
	void checkThrough(EntryVm vm, WorkerInfo worker, Consumer<ListenState> callback);

	/**
	 * Closes the direct connections to a worker that are not in use, and the others after
	 * their calls. Connections that a cut has silenced may stay silent after it.
	 * @param worker the worker
	 */
	void dropConnections(WorkerInfo worker);

}
