package io.shallotspur.gateway;

import java.util.HashSet;
import java.util.Set;

/**
 * The workers to which one request could not be sent. Not thread-safe; confined to the
 * gateway's thread.
 * <p>
 * Invariant: a worker is tried once more at most, so that tunnels which cannot be opened
 * do not make the request go on without end.
 */
final class UnsentAttempts {

	private final Set<WorkerState> workers = new HashSet<>();

	private final Set<WorkerState> retried = new HashSet<>();

	void add(WorkerState w) {
		this.workers.add(w);
	}

	/**
	 * Tells whether a worker that this VM could not connect can be reached through
	 * another VM.
	 * @return {@code false} if there is none, or those there are were tried again
	 */
	boolean mayGoThroughVm() {
		return this.workers.stream().anyMatch(this::mayGoThroughVm);
	}

	private boolean mayGoThroughVm(WorkerState w) {
		return w.path().tunnelVm() != null && !this.retried.contains(w);
	}

	/**
	 * Allows another attempt at these workers.
	 * @param placement the placement of the request
	 */
	void allowAgain(RequestPlacement placement) {
		this.workers.stream().filter(this::mayGoThroughVm).forEach((w) -> {
			this.retried.add(w);
			placement.allowAgain(w);
		});
	}

}
