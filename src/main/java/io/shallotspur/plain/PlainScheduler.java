package io.shallotspur.plain;

import java.util.function.Consumer;

/**
 * Decides when and on which worker the calls to a plain upstream run. The live node and
 * the replay use the same implementation.
 * <p>
 * Implementations are not thread-safe: events are delivered by one thread at a time, in
 * order of {@code now}. Implementations read no clock, start no threads and perform no
 * input or output.
 * <p>
 * Invariants: a call that is not repeatable is sent to at most one worker, except after
 * an attempt that certainly did not run ({@link PlainEvent.CallNotRun}); each call ends
 * exactly once.
 */
public interface PlainScheduler {

	/**
	 * Handles one event.
	 * @param event the event
	 * @param now the present time in milliseconds
	 * @param out receives the resulting actions, in the order in which to perform them
	 */
	void handle(PlainEvent event, long now, Consumer<PlainAction> out);

	/**
	 * Returns when a {@link PlainEvent.Tick} is due if no other event occurs before.
	 * @param now the present time in milliseconds
	 * @return the time in milliseconds, or {@link Long#MAX_VALUE} if none is due
	 */
	long nextWake(long now);

}
