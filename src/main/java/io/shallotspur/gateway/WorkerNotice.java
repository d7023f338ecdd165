package io.shallotspur.gateway;

/**
 * What a worker states in a response about whether it may be sent anything further.
 * Unlike a load report, a notice holds for all kinds of calls, and responses to all kinds
 * of calls carry it. Immutable.
 *
 * @param leaving whether the worker is leaving; this instance never accepts requests
 * again
 * @param pauseMs how long this VM is to send nothing to the worker, in milliseconds from
 * the response; 0 if it does not ask for a pause
 */
public record WorkerNotice(boolean leaving, long pauseMs) {

	/** The notice of a response that states nothing. */
	public static final WorkerNotice NONE = new WorkerNotice(false, 0);

}
