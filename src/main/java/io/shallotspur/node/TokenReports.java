package io.shallotspur.node;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

import io.shallotspur.cell.CellAction;
import io.shallotspur.cell.CellEvent;

/**
 * Tells the scheduler of a cell how many tokens its attempts relayed: in counts, so that
 * a token does not cost an event. Thread-safe; {@link #flush(ModelAttempt)} is called on
 * the thread of the loop.
 */
final class TokenReports {

	/**
	 * How long the scheduler may not know of tokens after the first one, in milliseconds.
	 */
	static final long EVERY_MS = 100;

	private final CellLoop<CellEvent, CellAction> loop;

	private final Queue<ModelAttempt> unreported = new ConcurrentLinkedQueue<>();

	private final AtomicBoolean due = new AtomicBoolean();

	TokenReports(CellLoop<CellEvent, CellAction> loop) {
		this.loop = loop;
	}

	/**
	 * Counts a token; called by the thread that relays.
	 * @param a the attempt that relays it
	 */
	void count(ModelAttempt a) {
		if (!a.count()) {
			return;
		}
		this.unreported.add(a);
		if (this.due.compareAndSet(false, true)) {
			this.loop.runLater(this::flush, (a.session().nextIndex() == 0) ? 0 : EVERY_MS);
		}
	}

	/**
	 * Reports the tokens of one attempt, which has ended.
	 * @param a the attempt
	 */
	void flush(ModelAttempt a) {
		int n = a.takeUnreported();
		if (n > 0) {
			this.loop.deliver(new CellEvent.Tokens(a.number(), n));
		}
	}

	private void flush() {
		this.due.set(false);
		for (ModelAttempt a = this.unreported.poll(); a != null; a = this.unreported.poll()) {
			flush(a);
		}
	}

}
