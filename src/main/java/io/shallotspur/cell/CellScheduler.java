package io.shallotspur.cell;

import java.util.function.Consumer;

/**
 * Schedules the requests of one cell on its workers. The live node and the replay use the
 * same implementation.
 * <p>
 * Implementations are not thread-safe: events are delivered by one thread at a time, in
 * order of {@code now}. They do not read a clock, start threads or perform I/O.
 * <p>
 * Invariants: each submitted request ends in exactly one of a completed decode, a
 * refusal, or {@link CellEvent.CallerGone}. After that it holds no resources, and the
 * only further actions for it are those that release what it held.
 */
public interface CellScheduler {

	/**
	 * Handles one event.
	 * @param event the event
	 * @param now the current time in milliseconds
	 * @param out receives the resulting actions, in the order in which they are to be
	 * executed
	 */
	void handle(CellEvent event, long now, Consumer<CellAction> out);

	/**
	 * Returns when a {@link CellEvent.Tick} is due if no other event arrives earlier.
	 * @param now the current time in milliseconds
	 * @return the time in milliseconds, or {@link Long#MAX_VALUE} if none is needed
	 */
	long nextWake(long now);

}
