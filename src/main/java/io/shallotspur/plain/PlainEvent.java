package io.shallotspur.plain;

import io.shallotspur.contract.ContractSet;
import io.shallotspur.fleet.Worker;

/**
 * Something that happened to the calls of a plain upstream. All events are immutable.
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
	 * The caller left.
	 *
	 * @param requestId the call
	 */
	record CallerGone(String requestId) implements PlainEvent {

	}

	/**
	 * The worker answered.
	 *
	 * @param attempt the attempt
	 */
	record CallCompleted(long attempt) implements PlainEvent {

	}

	/**
	 * The attempt ended and the worker surely did not run it.
	 *
	 * @param attempt the attempt
	 */
	record CallNotRun(long attempt) implements PlainEvent {

	}

	/**
	 * The attempt ended and the worker may have run it.
	 *
	 * @param attempt the attempt
	 */
	record CallOutcomeUnknown(long attempt) implements PlainEvent {

	}

	/**
	 * A worker joined or came back.
	 *
	 * @param worker the worker
	 */
	record WorkerUp(Worker worker) implements PlainEvent {

	}

	/**
	 * A worker died; calls on it are lost.
	 *
	 * @param workerId the worker
	 */
	record WorkerDown(String workerId) implements PlainEvent {

	}

	/**
	 * A worker is leaving: it gets no new calls.
	 *
	 * @param workerId the worker
	 */
	record WorkerLeaving(String workerId) implements PlainEvent {

	}

	/**
	 * Other contracts are in force.
	 *
	 * @param contracts all contracts
	 */
	record ContractsChanged(ContractSet contracts) implements PlainEvent {

	}

	/**
	 * The time that {@link PlainScheduler#nextWake(long)} asked for has come.
	 */
	record Tick() implements PlainEvent {

	}

}
