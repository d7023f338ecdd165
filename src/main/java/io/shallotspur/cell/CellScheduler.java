package io.shallotspur.cell;

import java.util.function.Consumer;

/**
 * Decides what runs where and when in one cell. The live node and the replay drive the
 * same implementation.
 * <p>
 * Implementations are not thread-safe: one thread at a time delivers events, in order of
 * {@code now}. They read no clock, start no thread and do no input or output.
 * <p>
 * Invariants: each submitted request ends in exactly one of a completed decode, a
 * refusal, or {@link CellEvent.CallerGone}; after that nothing is held for it, and no
 * action names it again but those that free what it held.
 */
public interface CellScheduler {

	/**
	 * Takes one event.
	 * @param event what happened
	 * @param now the present time in milliseconds
	 * @param out receives the actions to be done, in order
	 */
	void handle(CellEvent event, long now, Consumer<CellAction> out);

	/**
	 * Returns when a {@link CellEvent.Tick} is due even if nothing else happens.
	 * @param now the present time in milliseconds
	 * @return the time in milliseconds, or {@link Long#MAX_VALUE} if none is needed
	 */
	long nextWake(long now);

}
