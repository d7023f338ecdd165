package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * The network paths of this VM to the workers. A worker that this VM cannot connect, but
 * another VM can, is called through that VM until the direct path is back. Not
 * thread-safe; confined to the gateway's thread.
 * <p>
 * A failed connection alone does not tell a lost path from a worker that is down, and
 * only the latter is a reason to leave the worker alone. So other VMs are asked.
 * <p>
 * Invariants: a path is lost only after another VM has reached the worker; it is used
 * again only after several direct connections in a row have succeeded, so that a path
 * that comes and goes does not delay calls with each change.
 */
final class WorkerPaths implements PathSelector, DirectPaths {

	// If a worker has not sent anything for this time while requests wait, it is asked
	// for a connection, ms. Workers may pause for a second; the kernel still accepts.
	private static final long SILENCE_MS = 600;

	private static final long SILENCE_CHECK_INTERVAL_MS = 2_000;

	private static final long CHECK_INTERVAL_MS = 500;

	private static final int CHECKS_TO_REGAIN = 3;

	// Lost paths that are checked per interval.
	private static final int MAX_CHECKS = 32;

	// Workers without contact since the latest loss are suspected to be lost, too. Losses
	// that follow within this time belong to the same event, ms.
	private static final long SAME_LOSS_MS = 1_000;

	private final Gateway gateway;

	// Workers at which direct attempts are in progress.
	private final Set<WorkerState> awaited = new LinkedHashSet<>();

	private final Set<WorkerState> lost = new LinkedHashSet<>();

	// Workers to which there is no path at all.
	private final Set<WorkerState> unreachable = new LinkedHashSet<>();

	private long lostAt = Long.MIN_VALUE;

	private long nextReturnCheckAt;

	private @Nullable EntryVm latestTunnelVm;

	WorkerPaths(Gateway gateway) {
		this.gateway = gateway;
	}

	@Override
	public Optional<EntryVm> tunnelVm(WorkerInfo worker) {
		return this.gateway.roster.instance(worker).flatMap((w) -> tunnelVm(w, this.gateway.clock.getAsLong()));
	}

	private Optional<EntryVm> tunnelVm(WorkerState w, long now) {
		WorkerPath p = w.path();
		if (!p.isLost()) {
			return isSuspected(w) ? verify(w, now) : Optional.empty();
		}
		EntryVm vm = p.tunnelVm();
		if (vm != null && !this.gateway.entryVms.isRegistered(vm)) {
			// It is draining, and still opens tunnels for a while.
			askPeers(w, ListenState.NO_RESPONSE, now);
		}
		return Optional.ofNullable(p.tunnelVm());
	}

	// Other paths of this VM were lost, and nothing was heard from this worker since.
	private boolean isSuspected(WorkerState w) {
		return !this.lost.isEmpty() && !w.path().hasContactSince(this.lostAt);
	}

	private Optional<EntryVm> verify(WorkerState w, long now) {
		EntryVm vm = this.latestTunnelVm;
		if (vm == null || !this.gateway.entryVms.isRegistered(vm)) {
			return Optional.empty();
		}
		noResponse(w, now);
		return Optional.of(vm);
	}

	boolean isLost(WorkerState w) {
		return w.path().isLost();
	}

	boolean isDirect(WorkerState w) {
		return tunnelVm(w.info()).isEmpty();
	}

	@Override
	public boolean reachesDirectly(WorkerInfo worker) {
		return this.gateway.roster.instance(worker)
			.map((w) -> !w.path().isLost() && !w.path().isUnreachable() && !isSuspected(w))
			.orElse(true);
	}

	@Override
	public void checkSuspected(WorkerInfo worker) {
		this.gateway.roster.instance(worker)
			.filter((w) -> !w.path().isLost() && isSuspected(w))
			.ifPresent((w) -> noResponse(w, this.gateway.clock.getAsLong()));
	}

	@Override
	public void callUnanswered(WorkerInfo worker) {
		this.gateway.roster.instance(worker).ifPresent((w) -> noResponse(w, this.gateway.clock.getAsLong()));
	}

	/**
	 * Records that a worker has sent something.
	 * @param w the worker
	 * @param direct whether it came on a direct connection
	 * @param now the present time in milliseconds
	 */
	void recordResponse(WorkerState w, boolean direct, long now) {
		this.gateway.crashDetector.onSignOfLife(w, now);
		if (direct) {
			w.path().recordContact(now);
		}
	}

	void attemptStarted(WorkerState w, long now) {
		w.path().attemptStarted(now);
		this.awaited.add(w);
	}

	void attemptEnded(WorkerState w) {
		if (w.path().attemptEnded()) {
			this.awaited.remove(w);
		}
	}

	/**
	 * Records that a worker could not be reached. The log line tells how many workers of
	 * its upstream this VM does not reach: a VM that has lost its network path reaches
	 * none, while other VMs reach them all.
	 * @param w the worker
	 * @param seen what was seen
	 * @param now the present time in milliseconds
	 */
	void notReached(WorkerState w, String seen, long now) {
		boolean news = w.isReachable(now);
		w.markUnreachable(now);
		if (news) {
			this.gateway.metrics.workerNotReached();
			String upstream = w.info().upstream();
			Logger.info("[path] worker not reached worker={} upstream={} unreachable={}/{} seen=\"{}\"", w.info().id(),
					upstream, this.gateway.roster.unreachableCount(upstream, now),
					this.gateway.roster.activeCount(upstream, now), seen);
		}
	}

	/**
	 * Finds out how the address of a worker responds: to this VM or, if it does not
	 * accept a connection, to other VMs.
	 * @param w the worker
	 * @param listener receives the result
	 * @param now the present time in milliseconds
	 */
	void check(WorkerState w, Consumer<ListenState> listener, long now) {
		w.path().addCheckListener(listener);
		if (w.path().isChecking()) {
			return;
		}
		w.path().checkStarted();
		w.path().postponeCheck(now + CHECK_INTERVAL_MS);
		this.gateway.workerPort.checkListening(w.info(), (seen) -> onDirectCheck(w, seen));
	}

	private void onDirectCheck(WorkerState w, ListenState seen) {
		if (seen == ListenState.ACCEPTS) {
			w.path().recordContact(this.gateway.clock.getAsLong());
			w.path().checkEnded(seen);
		}
		else {
			startPeerCheck(w, seen);
		}
	}

	/**
	 * Handles a direct connection that could not be opened, or a tunnel that could not:
	 * other VMs are asked whether they reach the worker.
	 * @param w the worker
	 * @param now the present time in milliseconds
	 */
	void connectFailed(WorkerState w, long now) {
		if (w.path().isLost()) {
			loseTunnel(w, now);
		}
		else {
			askPeers(w, ListenState.NO_RESPONSE, now);
		}
	}

	// Until others have answered, the VM is used that was the last one to reach a worker.
	private void loseTunnel(WorkerState w, long now) {
		EntryVm failed = w.path().tunnelVm();
		EntryVm next = this.latestTunnelVm;
		boolean usable = next != null && !next.equals(failed) && this.gateway.entryVms.isRegistered(next);
		w.path().lose(usable ? next : null);
		askPeers(w, ListenState.NO_RESPONSE, now);
	}

	/**
	 * Handles a reservation call that failed.
	 * @param w the worker
	 * @param failure how it failed
	 * @param now the present time in milliseconds
	 */
	void reservationFailed(WorkerState w, ExchangeFailure failure, long now) {
		notReached(w, failure.reason(), now);
		if (w.path().isLost() && !failure.sent()) {
			// The VM in between opens no tunnel, and is not to be asked again.
			connectFailed(w, now);
		}
		else {
			noResponse(w, now);
		}
	}

	/**
	 * Handles a call that was not answered: the worker is asked for a connection.
	 * @param w the worker
	 * @param now the present time in milliseconds
	 */
	void noResponse(WorkerState w, long now) {
		if (w.path().mayCheck(now)) {
			check(w, (seen) -> {
			}, now);
		}
	}

	private void askPeers(WorkerState w, ListenState seen, long now) {
		if (w.path().mayCheck(now)) {
			w.path().checkStarted();
			w.path().postponeCheck(now + CHECK_INTERVAL_MS);
			startPeerCheck(w, seen);
		}
	}

	private void startPeerCheck(WorkerState w, ListenState directlySeen) {
		List<EntryVm> vms = peers(w);
		if (vms.isEmpty()) {
			onPeersChecked(w, null, directlySeen);
			return;
		}
		new PeerCheck(this.gateway.workerPort, w.info(), vms, (vm, seen) -> onPeersChecked(w, vm, seen)).start();
	}

	private void onPeersChecked(WorkerState w, @Nullable EntryVm vm, ListenState seen) {
		long now = this.gateway.clock.getAsLong();
		if (vm != null) {
			lose(w, vm);
		}
		else if (w.path().tunnelVm() == null && !w.path().hasContactSince(now - SILENCE_MS)) {
			markUnreachable(w, seen, now);
		}
		w.path().checkEnded(seen);
	}

	// Open connections may still work while new ones are refused, or dropped because too
	// many are opened at once.
	private void markUnreachable(WorkerState w, ListenState seen, long now) {
		if (w.path().markUnreachable()) {
			Logger.info("[path] none worker={} upstream={} seen={}", w.info().id(), w.info().upstream(), seen.code());
		}
		this.unreachable.add(w);
		this.gateway.rejectUnservable(w.info().upstream(), now);
	}

	// A VM in the worker's hall adds no traffic between halls.
	private List<EntryVm> peers(WorkerState w) {
		List<EntryVm> vms = new ArrayList<>(this.gateway.entryVms.tunnelVms(this.gateway.clock.getAsLong()));
		Collections.shuffle(vms, new Random(Double.doubleToLongBits(this.gateway.random.next())));
		vms.sort(Comparator.comparing(EntryVm::overloaded).thenComparing((vm) -> !vm.hall().equals(w.info().hall())));
		return vms;
	}

	private void lose(WorkerState w, EntryVm vm) {
		long now = this.gateway.clock.getAsLong();
		this.latestTunnelVm = vm;
		boolean sameVm = vm.equals(w.path().tunnelVm());
		if (w.path().lose(vm)) {
			this.gateway.metrics.pathLost();
			Logger.warn("[path] lost worker={} upstream={} through={} lost={}", w.info().id(), w.info().upstream(),
					vm.key(), this.lost.size() + 1);
			this.gateway.timer.schedule(SILENCE_MS, () -> interruptSilentAttempts(w));
		}
		else if (!sameVm) {
			Logger.info("[path] other VM worker={} upstream={} through={}", w.info().id(), w.info().upstream(),
					vm.key());
		}
		this.lost.add(w);
		if (this.lostAt == Long.MIN_VALUE || now - this.lostAt > SAME_LOSS_MS) {
			this.lostAt = now;
		}
		this.nextReturnCheckAt = Math.max(this.nextReturnCheckAt, now + CHECK_INTERVAL_MS);
		forgetFailures(w);
	}

	// The worker is well; this VM had lost its path to it.
	private void forgetFailures(WorkerState w) {
		w.forgetFailures();
		this.gateway.roster.outlierDetector(w.info().upstream()).addWorker(w.info().id());
		this.gateway.onCapacityFreed(w.info().upstream(), w.info().id());
	}

	private void interruptSilentAttempts(WorkerState w) {
		if (w.path().isLost()) {
			w.interruptSilentAttempts(this.gateway.clock.getAsLong() - SILENCE_MS);
			this.gateway.workerPort.dropConnections(w.info());
		}
	}

	/**
	 * Checks workers that have been silent for long, and whether lost paths are back.
	 * @param now the present time in milliseconds
	 */
	void update(long now) {
		for (WorkerState w : List.copyOf(this.awaited)) {
			if (w.path().silenceMs(now) >= SILENCE_MS && w.path().mayCheck(now)) {
				noResponse(w, now);
				w.path().postponeCheck(now + SILENCE_CHECK_INTERVAL_MS);
			}
		}
		this.unreachable.removeIf((w) -> !w.path().isUnreachable() || !this.gateway.roster.isCurrent(w, now));
		this.unreachable.stream().limit(MAX_CHECKS).toList().forEach((w) -> recheck(w, now));
		this.lost.removeIf((w) -> !this.gateway.roster.isCurrent(w, now));
		if (now >= this.nextReturnCheckAt && !this.lost.isEmpty()) {
			this.nextReturnCheckAt = now + CHECK_INTERVAL_MS;
			checkReturn(now);
		}
	}

	private void recheck(WorkerState w, long now) {
		if (w.path().mayCheck(now)) {
			this.unreachable.remove(w);
			this.unreachable.add(w);
			noResponse(w, now);
		}
	}

	private void checkReturn(long now) {
		for (WorkerState w : this.lost.stream().limit(MAX_CHECKS).toList()) {
			// The next interval begins with those that were not checked in this one.
			this.lost.remove(w);
			this.lost.add(w);
			this.gateway.workerPort.checkListening(w.info(), (seen) -> onReturnCheck(w, seen));
		}
	}

	private void onReturnCheck(WorkerState w, ListenState seen) {
		if (w.path().recordCheck(seen == ListenState.ACCEPTS) >= CHECKS_TO_REGAIN && this.lost.remove(w)) {
			long now = this.gateway.clock.getAsLong();
			w.path().regain(now);
			this.gateway.metrics.pathRegained();
			Logger.info("[path] regained worker={} upstream={} lost={}", w.info().id(), w.info().upstream(),
					this.lost.size());
		}
	}

}
