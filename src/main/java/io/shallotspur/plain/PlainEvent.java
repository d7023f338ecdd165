package io.shallotspur.plain;

import io.shallotspur.contract.ContractSet;
import io.shallotspur.fleet.Worker;

/**
 * An event that concerns the calls or the workers of a plain upstream. All events are
 * immutable.
 */
public sealed interface PlainEvent {

	/**
	 * A call arrived.
	 *
	 * @param request the call
	 */
	record Submit(PlainRequest request) implements PlainEvent {

	}

	/**
	 * The caller disconnected.
	 *
	 * @param requestId the id of the call
	 */
	record CallerGone(String requestId) implements PlainEvent {

	}

	/**
	 * The worker sent its response.
	 *
	 * @param attempt the id of the attempt
	 */
	record CallCompleted(long attempt) implements PlainEvent {

	}

	/**
	 * The attempt failed and the worker certainly did not run the call.
	 *
	 * @param attempt the id of the attempt
	 */
	record CallNotRun(long attempt) implements PlainEvent {

	}

	/**
	 * The attempt failed and the worker may have run the call.
	 *
	 * @param attempt the id of the attempt
	 */
	record CallOutcomeUnknown(long attempt) implements PlainEvent {

	}

	/**
	 * A worker became available, for the first time or again.
	 *
	 * @param worker the worker
	 */
	record WorkerUp(Worker worker) implements PlainEvent {

	}

	/**
	 * A worker failed; the attempts running on it are lost.
	 *
	 * @param workerId the worker
	 */
	record WorkerDown(String workerId) implements PlainEvent {

	}

	/**
	 * A worker is draining: it receives no new calls.
	 *
	 * @param workerId the worker
	 */
	record WorkerLeaving(String workerId) implements PlainEvent {

	}

	/**
	 * The set of contracts in force changed.
	 *
	 * @param contracts all contracts in force
	 */
	record ContractsChanged(ContractSet contracts) implements PlainEvent {

	}

	/**
	 * The time returned by {@link PlainScheduler#nextWake(long)} was reached.
	 */
	record Tick() implements PlainEvent {

	}

}
