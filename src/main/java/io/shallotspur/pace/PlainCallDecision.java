package io.shallotspur.pace;

/**
 * Decides whether a plain call is sent, waits at this VM or is refused. Stateless.
 * <p>
 * Designed for bursts that fill all workers: a call in a worker's own queue can neither
 * be overtaken by a more urgent one nor be taken back, and one that breaks off at its
 * deadline may have run. So a call is sent only while a worker is believed to have room,
 * and is refused as soon as a finish in time is not likely.
 */
public final class PlainCallDecision {

	// Few calls take longer than this many times their expected time.
	private static final double MARGIN = 1.5;

	// The same for a call that must not be repeated: its caller never learns whether it
	// has run if it breaks off.
	private static final double UNREPEATABLE_MARGIN = 2.5;

	private PlainCallDecision() {
	}

	/**
	 * Decides on a call.
	 * @param finishMs the expected time until the best worker has answered it, in
	 * milliseconds; 0 if it is not known
	 * @param waitMs the expected wait at this VM, in milliseconds
	 * @param full whether all workers are believed full
	 * @param remainingMs the time left for the answer, in milliseconds
	 * @param repeatable whether running it twice is harmless
	 * @return the decision
	 */
	public static Step decide(double finishMs, double waitMs, boolean full, long remainingMs, boolean repeatable) {
		double margin = repeatable ? MARGIN : UNREPEATABLE_MARGIN;
		if (finishMs > 0 && waitMs + margin * finishMs > remainingMs) {
			return Step.REFUSE;
		}
		return full ? Step.WAIT : Step.SEND;
	}

	/**
	 * What is done with a call.
	 */
	public enum Step {

		/** It is sent to a worker. */
		SEND,

		/** It waits for a worker with room. */
		WAIT,

		/** It is refused as not run. */
		REFUSE

	}

}
