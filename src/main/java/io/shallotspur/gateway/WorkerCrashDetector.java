package io.shallotspur.gateway;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.tinylog.Logger;

import io.shallotspur.quarantine.CrashedRun;
import io.shallotspur.quarantine.UnsettledRun;

/**
 * Finds out whether a worker has crashed after runs there ended without a response.
 * <p>
 * Connections also break when they are reset, or when a worker spoils a response; a
 * worker that has ended refuses connections, or another process has taken its place. A
 * supervisor may start that process at once, so that the address accepts connections
 * throughout. An address that does not respond may be behind a cut link; it has crashed
 * only if runs broke off there and its entry is gone as well. Runs that were cancelled
 * count, too: the crash may come after the cancellation. A response that has neither a
 * length nor chunks ends with its connection, and is whole only if the worker goes on.
 * Not thread-safe; confined to the gateway's thread.
 * <p>
 * Invariant: each start of a worker is reported at most once, and never if its end was
 * announced.
 */
final class WorkerCrashDetector implements WorkerEndListener {

	// All connections to a crashed worker break within a few ms; a late event loop
	// notices some of them later than others, ms.
	private static final long GATHER_MS = 100;

	// All sockets of a process that ends are closed by then, also the one on which it
	// listens, ms.
	private static final long CLOSE_MS = 10;

	// A crash follows a cancelled run within about 100 ms, ms.
	private static final long CANCELLED_CHECK_MS = 300;

	// Bounds the checks of a worker that breaks off responses but has not crashed, ms.
	private static final long MIN_CHECK_INTERVAL_MS = 1_000;

	private final Gateway gateway;

	// Workers that may have runs without a response.
	private final Set<WorkerState> watched = new LinkedHashSet<>();

	WorkerCrashDetector(Gateway gateway) {
		this.gateway = gateway;
		gateway.roster.setEndListener(this);
	}

	/**
	 * Records that a request broke off while it may have been running.
	 * @param w the worker
	 * @param identity the request
	 * @param writingMs for how long the worker had been writing the answer, in
	 * milliseconds
	 * @param now the present time in milliseconds
	 */
	void onInterrupted(WorkerState w, LazyIdentity identity, long writingMs, long now) {
		if (mayCrash(w, now)) {
			watch(w, new UnsettledRun(identity.value(), true, writingMs, now), now);
			scheduleCheck(w, now + GATHER_MS, now);
		}
	}

	/**
	 * Records that a request was cancelled while it may have been running.
	 * @param w the worker
	 * @param identity the request
	 * @param writingMs for how long the worker had been writing the answer, in
	 * milliseconds
	 * @param now the present time in milliseconds
	 */
	void onCancelled(WorkerState w, LazyIdentity identity, long writingMs, long now) {
		if (mayCrash(w, now)) {
			watch(w, new UnsettledRun(identity.value(), false, writingMs, now), now);
			scheduleCheck(w, now + CANCELLED_CHECK_MS, now);
		}
	}

	/**
	 * Handles a response that ended with its connection, as it does when the worker
	 * crashes.
	 * @param w the worker
	 * @param identity the request
	 * @param writingMs for how long the worker had been writing the answer, in
	 * milliseconds
	 * @param callback told whether the response is whole, as the worker goes on
	 * @param now the present time in milliseconds
	 */
	void onEndedWithConnection(WorkerState w, LazyIdentity identity, long writingMs, Consumer<Boolean> callback,
			long now) {
		if (mayCrash(w, now)) {
			watch(w, new UnsettledRun(identity.value(), true, writingMs, now, true), now);
		}
		this.gateway.timer.schedule(CLOSE_MS, () -> askAddress(w, (seen, at) -> {
			onChecked(w, seen, at);
			callback.accept(seen == ListenState.ACCEPTS);
		}));
	}

	/**
	 * Records that a worker has responded to something, so it had not crashed a moment
	 * before.
	 * @param w the worker
	 * @param now the present time in milliseconds
	 */
	void onSignOfLife(WorkerState w, long now) {
		w.crashEvidence().runs.recordSignOfLife(now)
			.stream()
			.filter(UnsettledRun::answered)
			.forEach((r) -> this.gateway.quarantine.recordCompletion(r.request(), w.info().upstream(), now));
	}

	private static boolean mayCrash(WorkerState w, long now) {
		return w.isActive(now) && !w.crashEvidence().crashed;
	}

	private void watch(WorkerState w, UnsettledRun run, long now) {
		this.watched.removeIf((x) -> x.crashEvidence().runs.isEmpty(now));
		w.crashEvidence().runs.add(run);
		this.watched.add(w);
	}

	/**
	 * Records that a request has completed, so that it did not cause a crash before.
	 * @param identity the request
	 */
	void onCompleted(LazyIdentity identity) {
		if (!this.watched.isEmpty()) {
			this.watched.forEach((w) -> w.crashEvidence().runs.remove(identity.fingerprint()));
		}
	}

	private void scheduleCheck(WorkerState w, long at, long now) {
		CrashEvidence e = w.crashEvidence();
		long due = Math.max(at, e.nextCheckAt);
		if (due < e.checkDueAt) {
			e.cancelCheck.run();
			e.checkDueAt = due;
			e.cancelCheck = this.gateway.timer.schedule(due - now, () -> check(w));
		}
	}

	private void check(WorkerState w) {
		CrashEvidence e = w.crashEvidence();
		long now = this.gateway.clock.getAsLong();
		e.checkDueAt = Long.MAX_VALUE;
		List<UnsettledRun> unchecked = e.runs.endedAfter(e.acceptedAt, now);
		boolean brokenOff = unchecked.stream().anyMatch(UnsettledRun::brokenOff);
		// Other requests there would have broken off with a crash.
		if (!unchecked.isEmpty() && (brokenOff || w.activeRequests() == 0)) {
			e.nextCheckAt = now + MIN_CHECK_INTERVAL_MS;
			askAddress(w, (seen, at) -> onChecked(w, seen, at));
		}
	}

	private void askAddress(WorkerState w, CheckListener listener) {
		this.gateway.metrics.crashChecked();
		this.gateway.paths.check(w, (seen) -> {
			long now = this.gateway.clock.getAsLong();
			Logger.info("[quarantine] worker checked worker={} seen={} runs={}", w.info().id(), seen.code(),
					w.crashEvidence().runs.endedAfter(Long.MIN_VALUE, now).size());
			listener.onChecked(seen, now);
		}, this.gateway.clock.getAsLong());
	}

	private void onChecked(WorkerState w, ListenState seen, long now) {
		CrashEvidence e = w.crashEvidence();
		if (seen == ListenState.REFUSES) {
			reportCrash(w, e.runs.endedAfter(e.acceptedAt, now));
			this.gateway.paths.notReached(w, seen.code(), now);
		}
		else {
			e.acceptedAt = now;
		}
	}

	@Override
	public void onReplaced(WorkerState w) {
		if (!w.info().draining() && !w.hasStatedLeaving()) {
			reportCrash(w, w.crashEvidence().runs.latest(this.gateway.clock.getAsLong()));
		}
	}

	@Override
	public void onEntryRemoved(WorkerState w) {
		long now = this.gateway.clock.getAsLong();
		boolean brokenOff = w.crashEvidence().runs.latest(now).stream().anyMatch(UnsettledRun::brokenOff);
		if (w.isRemoved(now) && !w.info().draining() && !w.hasStatedLeaving() && brokenOff) {
			askAddress(w, (seen, at) -> onCheckedWithoutEntry(w, seen, at));
		}
	}

	// A worker that leaves without an announcement still accepts connections.
	private void onCheckedWithoutEntry(WorkerState w, ListenState seen, long now) {
		if (seen != ListenState.ACCEPTS) {
			reportCrash(w, w.crashEvidence().runs.latest(now));
		}
	}

	private void reportCrash(WorkerState w, List<UnsettledRun> runs) {
		CrashEvidence e = w.crashEvidence();
		if (!e.crashed && !runs.isEmpty()) {
			e.crashed = true;
			List<CrashedRun> crashed = runs.stream().map((r) -> new CrashedRun(r.request(), r.writingMs())).toList();
			this.gateway.quarantine.recordCrash(w.info(), crashed, crashTime(runs));
		}
		e.runs.clear();
		this.watched.remove(w);
	}

	// News of several crashes may come together, so the time of the news would make them
	// look like one event, such as a rack that loses power.
	private static long crashTime(List<UnsettledRun> runs) {
		long lastEndAt = runs.stream().mapToLong(UnsettledRun::endedAt).max().orElseThrow();
		return runs.stream().filter(UnsettledRun::brokenOff).mapToLong(UnsettledRun::endedAt).min().orElse(lastEndAt);
	}

	/**
	 * Receives the result of a check.
	 */
	private interface CheckListener {

		void onChecked(ListenState seen, long now);

	}

}
