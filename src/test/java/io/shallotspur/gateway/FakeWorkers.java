package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Workers that record all calls and respond when the test says so.
 */
final class FakeWorkers implements WorkerPort {

	final List<Run> runs = new ArrayList<>();

	final List<Prefill> prefills = new ArrayList<>();

	final List<Reservation> reservations = new ArrayList<>();

	final List<String> cancelledReservations = new ArrayList<>();

	// Ids of the workers that have been checked, and of those that refuse connections.
	final List<String> checks = new ArrayList<>();

	final Set<String> ended = new HashSet<>();

	// Ids of the workers whose addresses do not respond to a check.
	final Set<String> silent = new HashSet<>();

	final List<String> releasedHandles = new ArrayList<>();

	// How the workers' addresses respond to other VMs, by the VM's key, unless they
	// accept connections.
	final Map<String, ListenState> seenByVms = new HashMap<>();

	final List<String> checksThroughVms = new ArrayList<>();

	// Ids of the workers whose connections were dropped.
	final List<String> dropped = new ArrayList<>();

	@Override
	public Exchange run(WorkerCall call, ExchangeListener listener) {
		Run r = new Run(call, listener);
		this.runs.add(r);
		return () -> r.cancelled = true;
	}

	@Override
	public Exchange prefill(WorkerCall call, PrefillListener listener) {
		Prefill p = new Prefill(call, listener);
		this.prefills.add(p);
		return () -> p.cancelled = true;
	}

	@Override
	public void releaseKvCache(KvSource source) {
		this.releasedHandles.add(source.handle());
	}

	@Override
	public void reserve(WorkerInfo worker, int tokens, long ttlMs, ReservationListener listener) {
		this.reservations.add(new Reservation(worker, tokens, listener));
	}

	@Override
	public void checkListening(WorkerInfo worker, Consumer<ListenState> callback) {
		this.checks.add(worker.id());
		callback.accept(listenState(worker.id()));
	}

	@Override
	public void checkThrough(EntryVm vm, WorkerInfo worker, Consumer<ListenState> callback) {
		this.checksThroughVms.add(vm.key() + ">" + worker.id());
		callback.accept(this.seenByVms.getOrDefault(vm.key(), ListenState.ACCEPTS));
	}

	@Override
	public void dropConnections(WorkerInfo worker) {
		this.dropped.add(worker.id());
	}

	private ListenState listenState(String id) {
		if (this.silent.contains(id)) {
			return ListenState.NO_RESPONSE;
		}
		return this.ended.contains(id) ? ListenState.REFUSES : ListenState.ACCEPTS;
	}

	@Override
	public void cancelReservation(WorkerInfo worker, String reservation) {
		this.cancelledReservations.add(reservation);
	}

	Run lastRun() {
		return this.runs.get(this.runs.size() - 1);
	}

	static final class Run {

		final WorkerCall call;

		final ExchangeListener listener;

		boolean cancelled;

		private Run(WorkerCall call, ExchangeListener listener) {
			this.call = call;
			this.listener = listener;
		}

		void respond(int status, String body) {
			respondHead(status);
			this.listener.onBytes(body.getBytes());
			this.listener.onEnd();
		}

		void respondHead(int status) {
			this.listener.onHead(
					new ResponseHead(status, List.of(), ResponseAuthenticity.SIGNED, false, false, WorkerStatus.NONE));
		}

		void respondWithLimit(WorkerRateLimit limit) {
			this.listener.onHead(new ResponseHead(200, List.of(), ResponseAuthenticity.SIGNED, false, false,
					new WorkerStatus(null, limit)));
			this.listener.onBytes("fine".getBytes());
			this.listener.onEnd();
		}

		void rejectNotRun() {
			this.listener.onHead(
					new ResponseHead(503, List.of(), ResponseAuthenticity.UNSIGNED, true, false, WorkerStatus.NONE));
		}

		void rejectReplaced() {
			this.listener
				.onHead(new ResponseHead(421, List.of(), ResponseAuthenticity.UNSIGNED, true, true, WorkerStatus.NONE));
		}

		void resetConnection() {
			this.listener.onFailure(new ExchangeFailure(true, "reset"));
		}

		void refuseConnection() {
			this.listener.onFailure(new ExchangeFailure(false, "refused"));
		}

		void sendEvents(String text) {
			this.listener.onBytes(text.getBytes());
		}

	}

	static final class Prefill {

		final WorkerCall call;

		final PrefillListener listener;

		boolean cancelled;

		private Prefill(WorkerCall call, PrefillListener listener) {
			this.call = call;
			this.listener = listener;
		}

	}

	record Reservation(WorkerInfo worker, int tokens, ReservationListener listener) {

	}

}
