package io.shallotspur.gateway;

/**
 * Workers that never answer.
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
	public void cancelReservation(WorkerInfo worker, String hold) {
	}

}
