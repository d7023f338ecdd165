package io.shallotspur.cell;

import io.shallotspur.contract.ContractSet;
import io.shallotspur.fleet.Worker;

/**
 * An input of the scheduler of a cell. All events are immutable.
 */
public sealed interface CellEvent {

	/**
	 * A request arrived.
	 *
	 * @param request the request
	 */
	record Submit(ModelRequest request) implements CellEvent {

	}

	/**
	 * The caller disconnected or cancelled; all resources of the request are released.
	 *
	 * @param requestId the request
	 */
	record CallerGone(String requestId) implements CellEvent {

	}

	/**
	 * A prefill finished and its KV cache is ready for transfer.
	 *
	 * @param attempt the attempt, as given in {@link CellAction.StartPrefill}
	 * @param computedTokens the prompt tokens that were computed, that is, not found in
	 * the prefix cache
	 */
	record PrefillDone(long attempt, int computedTokens) implements CellEvent {

	}

	/**
	 * A prefill failed, but its worker is still running.
	 *
	 * @param attempt the attempt, as given in {@link CellAction.StartPrefill}
	 */
	record PrefillFailed(long attempt) implements CellEvent {

	}

	/**
	 * The KV cache arrived at the decode worker.
	 *
	 * @param attempt the attempt, as given in {@link CellAction.StartPrefill}
	 */
	record TransferDone(long attempt) implements CellEvent {

	}

	/**
	 * A transfer failed, for instance because the KV cache was evicted before the
	 * transfer started.
	 *
	 * @param attempt the attempt, as given in {@link CellAction.StartPrefill}
	 */
	record TransferFailed(long attempt) implements CellEvent {

	}

	/**
	 * Tokens were sent to the caller.
	 *
	 * @param attempt the attempt, as given in {@link CellAction.StartPrefill}
	 * @param count the number of new tokens, at least 1
	 */
	record Tokens(long attempt, int count) implements CellEvent {

	}

	/**
	 * The answer is complete.
	 *
	 * @param attempt the attempt, as given in {@link CellAction.StartPrefill}
	 */
	record DecodeDone(long attempt) implements CellEvent {

	}

	/**
	 * A decode failed, but its worker is still running.
	 *
	 * @param attempt the attempt, as given in {@link CellAction.StartPrefill}
	 */
	record DecodeFailed(long attempt) implements CellEvent {

	}

	/**
	 * The duration of a decode step was measured; used to fit the cost model.
	 *
	 * @param workerId the decode worker
	 * @param batchSize the number of requests in the batch
	 * @param stepMs the duration of the step in milliseconds
	 */
	record StepObserved(String workerId, int batchSize, double stepMs) implements CellEvent {

	}

	/**
	 * A worker reported its load. Reports arrive with a delay.
	 *
	 * @param workerId the worker
	 * @param activeRequests the number of requests it holds
	 * @param measuredAt when they were counted, in milliseconds
	 */
	record LoadReport(String workerId, int activeRequests, long measuredAt) implements CellEvent {

	}

	/**
	 * A prefill worker published a prefix cache event. Events may be delayed or lost.
	 *
	 * @param workerId the prefill worker
	 * @param sequence sequence number, incremented by one for each event of the worker
	 * @param block the hash of the block
	 * @param stored {@code true} if the block was stored, {@code false} if it was evicted
	 */
	record CacheChange(String workerId, long sequence, long block, boolean stored) implements CellEvent {

	}

	/**
	 * A worker joined, or restarted without state.
	 *
	 * @param worker the worker
	 */
	record WorkerUp(Worker worker) implements CellEvent {

	}

	/**
	 * A worker crashed; all work on it is lost.
	 *
	 * @param workerId the worker
	 */
	record WorkerDown(String workerId) implements CellEvent {

	}

	/**
	 * A worker is draining: it gets no new requests and finishes those it has.
	 *
	 * @param workerId the worker
	 */
	record WorkerLeaving(String workerId) implements CellEvent {

	}

	/**
	 * The set of contracts changed.
	 *
	 * @param contracts all contracts in force
	 */
	record ContractsChanged(ContractSet contracts) implements CellEvent {

	}

	/**
	 * This node became the owner of the cell. The former owner may keep admitting
	 * requests until it learns of the change.
	 *
	 * @param exclusiveFrom when the former owner has certainly stopped admitting, in
	 * milliseconds
	 */
	record TakeoverStarted(long exclusiveFrom) implements CellEvent {

	}

	/**
	 * The time returned by {@link CellScheduler#nextWake(long)} was reached.
	 */
	record Tick() implements CellEvent {

	}

}
