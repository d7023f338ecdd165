package io.shallotspur.plain;

import java.util.function.Consumer;

/**
 * Decides which call to a plain upstream runs where and when. The live node and the
 * replay drive the same implementation.
 * <p>
 * Implementations are not thread-safe: one thread at a time delivers events, in order of
 * {@code now}. They read no clock, start no thread and do no input or output.
 * <p>
 * Invariants: a call that may not be repeated is given to one worker at most, unless an
 * attempt surely did not run ({@link PlainEvent.CallNotRun}); each call ends exactly
 * once.
 */
public interface PlainScheduler {

	/**
	 * Takes one event.
	 * @param event what happened
	 * @param now the present time in milliseconds
	 * @param out receives the actions to be done, in order
	 */
	void handle(PlainEvent event, long now, Consumer<PlainAction> out);

	/**
	 * Returns when a {@link PlainEvent.Tick} is due even if nothing else happens.
	 * @param now the present time in milliseconds
	 * @return the time in milliseconds, or {@link Long#MAX_VALUE} if none is needed
	 */
	long nextWake(long now);

}
