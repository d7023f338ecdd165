package io.shallotspur.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Asks other VMs, a few at a time, whether they reach a worker. Not thread-safe; confined
 * to the gateway's thread.
 * <p>
 * Invariant: {@link Listener#onChecked} is called once.
 */
final class PeerCheck {

	// VMs that are asked at the same time. Those whose path is cut as well may take as
	// long as a connect timeout to respond.
	private static final int BATCH = 4;

	private static final int MAX_VMS = 8;

	private final WorkerPort port;

	private final WorkerInfo worker;

	private final Deque<EntryVm> remaining;

	private final Listener listener;

	private int pending;

	private boolean done;

	private ListenState seen = ListenState.NO_RESPONSE;

	PeerCheck(WorkerPort port, WorkerInfo worker, List<EntryVm> vms, Listener listener) {
		this.port = port;
		this.worker = worker;
		this.remaining = new ArrayDeque<>(vms.subList(0, Math.min(MAX_VMS, vms.size())));
		this.listener = listener;
	}

	void start() {
		if (this.remaining.isEmpty()) {
			finish(null, this.seen);
			return;
		}
		List<EntryVm> batch = this.remaining.stream().limit(BATCH).toList();
		this.remaining.removeAll(batch);
		this.pending = batch.size();
		batch.forEach((vm) -> this.port.checkThrough(vm, this.worker, (s) -> onResponse(vm, s)));
	}

	private void onResponse(EntryVm vm, ListenState state) {
		this.pending--;
		if (state == ListenState.ACCEPTS) {
			finish(vm, state);
		}
		else if (state == ListenState.REFUSES) {
			this.seen = state;
		}
		if (this.pending == 0 && !this.done) {
			start();
		}
	}

	private void finish(@Nullable EntryVm vm, ListenState state) {
		if (!this.done) {
			this.done = true;
			this.listener.onChecked(vm, state);
		}
	}

	/**
	 * Receives the result.
	 */
	interface Listener {

		// The VM that reaches the worker, or null; how the worker's address responds to
		// the VMs that were asked.
		void onChecked(@Nullable EntryVm vm, ListenState seen);

	}

}
