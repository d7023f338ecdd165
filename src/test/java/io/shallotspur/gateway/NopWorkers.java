package io.shallotspur.gateway;

import java.util.function.Consumer;

/**
 * Workers that never respond.
 */
public class NopWorkers implements WorkerPort {

	@Override
	public Exchange run(WorkerCall call, ExchangeListener listener) {
		return () -> {
		};
	}

	@Override
	public Exchange prefill(WorkerCall call, PrefillListener listener) {
		return () -> {
		};
	}

	@Override
	public void releaseKvCache(KvSource source) {
	}

	@Override
	public void reserve(WorkerInfo worker, int tokens, long ttlMs, ReservationListener listener) {
	}

	@Override
	public void checkListening(WorkerInfo worker, Consumer<ListenState> callback) {
	}

	@Override
	public void checkThrough(EntryVm vm, WorkerInfo worker, Consumer<ListenState> callback) {
	}

	@Override
	public void dropConnections(WorkerInfo worker) {
	}

	@Override
	public void cancelReservation(WorkerInfo worker, String reservation) {
	}

}
