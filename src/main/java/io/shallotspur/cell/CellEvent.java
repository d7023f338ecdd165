package io.shallotspur.cell;

import io.shallotspur.contract.ContractSet;
import io.shallotspur.fleet.Worker;

/**
 * Something that happened to a cell. All events are immutable.
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
	 * The caller left or the connection broke: nothing may stay held for it.
	 *
	 * @param requestId the request
	 */
	record CallerGone(String requestId) implements CellEvent {

	}

	/**
	 * A prefill finished and its KV cache waits for transfer.
	 *
	 * @param attempt the attempt, as given in {@link CellAction.StartPrefill}
	 * @param computedTokens the tokens that were computed, that is, not found in the
	 * prefix cache
	 */
	record PrefillDone(long attempt, int computedTokens) implements CellEvent {

	}

	/**
	 * A prefill failed while its worker lives on.
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
	 * A transfer failed, for instance because the KV cache was evicted before it began.
	 *
	 * @param attempt the attempt, as given in {@link CellAction.StartPrefill}
	 */
	record TransferFailed(long attempt) implements CellEvent {

	}

	/**
	 * The caller was sent tokens.
	 *
	 * @param attempt the attempt, as given in {@link CellAction.StartPrefill}
	 * @param count how many more tokens, at least 1
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
	 * A decode failed while its worker lives on.
	 *
	 * @param attempt the attempt, as given in {@link CellAction.StartPrefill}
	 */
	record DecodeFailed(long attempt) implements CellEvent {

	}

	/**
	 * A decode step was timed; input of the cost fit.
	 *
	 * @param workerId the decode worker
	 * @param batchSize requests in the batch
	 * @param stepMs the length of the step in milliseconds
	 */
	record StepObserved(String workerId, int batchSize, double stepMs) implements CellEvent {

	}

	/**
	 * A worker reported its load, with a lag.
	 *
	 * @param workerId the worker
	 * @param activeRequests the requests it holds
	 * @param measuredAt when it counted them, in milliseconds
	 */
	record LoadReport(String workerId, int activeRequests, long measuredAt) implements CellEvent {

	}

	/**
	 * A prefill worker published a cache event. Events come late and with gaps.
	 *
	 * @param workerId the prefill worker
	 * @param sequence rises by one with each event of the worker
	 * @param block the hash of the block
	 * @param stored {@code true} if the block was stored, {@code false} if it was evicted
	 */
	record CacheChange(String workerId, long sequence, long block, boolean stored) implements CellEvent {

	}

	/**
	 * A worker joined or came back empty.
	 *
	 * @param worker the worker
	 */
	record WorkerUp(Worker worker) implements CellEvent {

	}

	/**
	 * A worker died; all work on it is gone.
	 *
	 * @param workerId the worker
	 */
	record WorkerDown(String workerId) implements CellEvent {

	}

	/**
	 * A worker is leaving: it gets no new work and finishes what it has.
	 *
	 * @param workerId the worker
	 */
	record WorkerLeaving(String workerId) implements CellEvent {

	}

	/**
	 * Other contracts are in force.
	 *
	 * @param contracts all contracts
	 */
	record ContractsChanged(ContractSet contracts) implements CellEvent {

	}

	/**
	 * This node became the owner of the cell. The former one may admit work until it has
	 * heard of it.
	 *
	 * @param exclusiveFrom when the former owner has surely stopped, in milliseconds
	 */
	record TakeoverStarted(long exclusiveFrom) implements CellEvent {

	}

	/**
	 * The time that {@link CellScheduler#nextWake(long)} asked for has come.
	 */
	record Tick() implements CellEvent {

	}

}
