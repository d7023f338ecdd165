package io.shallotspur.gateway;

import org.tinylog.Logger;

/**
 * Applies what workers state about themselves, and holds back the calls that a worker has
 * asked not to be sent. Not thread-safe; confined to the gateway's thread.
 */
final class WorkerNotices {

	private final Gateway gateway;

	WorkerNotices(Gateway gateway) {
		this.gateway = gateway;
	}

	void apply(WorkerInfo worker, WorkerNotice notice) {
		this.gateway.roster.instance(worker).ifPresent((w) -> apply(w, notice, this.gateway.clock.getAsLong()));
	}

	private void apply(WorkerState w, WorkerNotice notice, long now) {
		if (notice.leaving() && w.markLeaving()) {
			this.gateway.metrics.leavingStated();
			Logger.info("[relay] worker={} states that it is leaving registry-leaving={}", w.info().id(),
					w.info().draining());
		}
		if (notice.pauseMs() > 0) {
			startPause(w, notice.pauseMs(), now);
		}
		w.notifyOfNotice();
		this.gateway.rejectUnservable(w.info().upstream(), now);
	}

	private void startPause(WorkerState w, long pauseMs, long now) {
		if (w.pauseUntil(now + pauseMs, now)) {
			this.gateway.metrics.pauseStarted();
			this.gateway.log.write(now, () -> "worker=" + w.info().id() + " asks for a pause pause-ms=" + pauseMs);
		}
	}

	/**
	 * Cancels a reservation that will not be used, unless its worker has asked for a
	 * pause: the reservation then expires.
	 * @param worker the worker
	 * @param reservation the reservation
	 */
	void cancelReservation(WorkerInfo worker, String reservation) {
		if (mayRelease(worker, reservation)) {
			this.gateway.workerPort.cancelReservation(worker, reservation);
		}
	}

	/**
	 * Releases a KV cache that will not be fetched, unless its worker has asked for a
	 * pause: the KV cache then expires.
	 * @param source the KV cache
	 */
	void releaseKvCache(KvSource source) {
		if (mayRelease(source.worker(), source.handle())) {
			this.gateway.workerPort.releaseKvCache(source);
		}
	}

	private boolean mayRelease(WorkerInfo worker, String name) {
		long now = this.gateway.clock.getAsLong();
		if (this.gateway.roster.pauseRemainingMs(worker, now) == 0) {
			return true;
		}
		this.gateway.log.write(now, () -> "worker=" + worker.id() + " pauses; left to expire: " + name);
		return false;
	}

}
