package io.shallotspur.stage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

import org.tinylog.Logger;

import io.shallotspur.gateway.DirectPaths;
import io.shallotspur.gateway.Gateway;
import io.shallotspur.gateway.GatewayTimer;
import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.registry.Leadership;
import io.shallotspur.route.EngineSpec;
import io.shallotspur.route.RouteTable;
import io.shallotspur.route.UpstreamSpec;

/**
 * Periodically adapts the number of prefill and decode workers of each model upstream to
 * the load, while this VM is the leader. A leader that has lost its direct paths to the
 * workers that should change resigns, as no other VM may order anything meanwhile. Not
 * thread-safe; confined to the gateway's thread.
 */
public final class StageRebalancer {

	private static final long TICK_MS = 1_000;

	// Fewer requests may all be atypical.
	private static final int MIN_SAMPLES = 3;

	// Maximum fraction of the decode workers that leave the stage at once, but at least
	// one may leave: prompts can wait or be prefilled elsewhere, responses cannot.
	private static final double MAX_LEAVING_FRACTION = 0.125;

	// Paths that are checked at a time while none to a worker is known.
	private static final int MAX_PATH_CHECKS = 8;

	private final String vmName;

	private final Gateway gateway;

	private final Leadership leadership;

	private final StagePort port;

	private final GatewayTimer timer;

	private final LongSupplier clock;

	private final long propagationMs;

	private final DirectPaths paths;

	private final Map<String, StageChangeTask> activeChanges = new HashMap<>();

	private final OrphanedAnnouncements orphans = new OrphanedAnnouncements();

	private final Map<String, UpstreamState> upstreamStates = new HashMap<>();

	// When the last stage change of a worker failed, by worker id.
	private final Map<String, Long> failedAt = new HashMap<>();

	private boolean stopped;

	/**
	 * Creates a rebalancer; {@link #start()} activates it.
	 * @param vmName the name of this VM
	 * @param gateway the gateway, which provides the workers and the load
	 * @param leadership the leadership that permits orders to workers
	 * @param port the port for calls to workers
	 * @param timer the gateway's timer
	 * @param clock the current time in milliseconds
	 * @param propagationMs how long an announcement takes to reach all VMs, in
	 * milliseconds; no order is sent before that
	 */
	public StageRebalancer(String vmName, Gateway gateway, Leadership leadership, StagePort port, GatewayTimer timer,
			LongSupplier clock, long propagationMs) {
		this.vmName = vmName;
		this.gateway = gateway;
		this.paths = gateway.directPaths();
		this.leadership = leadership;
		this.port = port;
		this.timer = timer;
		this.clock = clock;
		this.propagationMs = propagationMs;
	}

	/**
	 * Starts the periodic check of the upstreams.
	 */
	public void start() {
		this.timer.schedule(TICK_MS, this::tick);
	}

	/**
	 * Stops the periodic check. Changes that are in progress continue.
	 */
	public void stop() {
		this.stopped = true;
	}

	private void tick() {
		if (this.stopped) {
			return;
		}
		long now = this.clock.getAsLong();
		this.gateway.routeTable().ifPresent((t) -> checkUpstreams(t, now));
		this.timer.schedule(TICK_MS, this::tick);
	}

	private void checkUpstreams(RouteTable t, long now) {
		List<UpstreamSpec> l = t.upstreams().stream().filter((u) -> u.engine() != null).toList();
		if (l.isEmpty()) {
			return;
		}
		this.leadership.claimIfVacant(() -> reachesAnyWorker(l, now), now);
		l.forEach((u) -> checkUpstream(u.name(), u.engine(), now));
		withdrawOrphans(now);
		boolean nothingToOrder = this.activeChanges.values().stream().allMatch(StageChangeTask::isAccepted);
		if (nothingToOrder && l.stream().anyMatch((u) -> isBlocked(u.name(), now))) {
			Logger.info("[stage] no direct path to workers that should change");
			this.leadership.resign(now);
		}
	}

	private void withdrawOrphans(long now) {
		List<WorkerInfo> orphans = this.orphans.update(this.gateway.roster().changingStage(),
				this.activeChanges.keySet(), now);
		if (this.leadership.mayAct(now)) {
			orphans.stream().filter((w) -> pauseRemainingMs(w) == 0).forEach(this::withdrawUnlessChanging);
		}
	}

	// A leader that has resigned may have left a worker that carries out its order.
	private void withdrawUnlessChanging(WorkerInfo w) {
		this.port.report(w).filter((r) -> !r.orderInProgress()).flatMap((r) -> {
			Logger.info("[stage] announcement without a change worker={}", w.id());
			return this.leadership.withdrawStageChange(w.id(), this.leadership.term());
		}).subscribe((withdrawn) -> {
		}, (ex) -> Logger.info("[stage] withdrawal failed worker={} seen=\"{}\"", w.id(), ex.toString()));
	}

	// A VM that knows of no worker may learn of some before it acts.
	private boolean reachesAnyWorker(List<UpstreamSpec> l, long now) {
		List<WorkerInfo> workers = l.stream()
			.flatMap((u) -> this.gateway.roster().activeWorkers(u.name(), now).stream())
			.toList();
		return workers.isEmpty() || workers.stream().anyMatch(this.paths::reachesDirectly);
	}

	private boolean isBlocked(String upstream, long now) {
		return this.leadership.mayAct(now) && this.upstreamStates.get(upstream).isBlocked(now);
	}

	private void checkUpstream(String upstream, EngineSpec engine, long now) {
		List<WorkerInfo> prefill = new ArrayList<>();
		List<WorkerInfo> decode = new ArrayList<>();
		for (WorkerInfo w : this.gateway.roster().activeWorkers(upstream, now)) {
			// A worker with a change in progress counts towards its target stage, whether
			// or not the change is announced yet.
			StageChangeTask change = this.activeChanges.get(w.id());
			WorkerStage stage = (change != null) ? change.targetStage() : w.stage();
			if (stage == WorkerStage.PREFILL) {
				prefill.add(w);
			}
			else if (stage == WorkerStage.DECODE) {
				decode.add(w);
			}
		}
		UpstreamState s = this.upstreamStates.computeIfAbsent(upstream, (u) -> new UpstreamState());
		s.updateWorkerCount(prefill.size() + decode.size(), now);
		if (!this.leadership.mayAct(now)) {
			s.updateBlocked(false, now);
			return;
		}
		List<WorkerInfo> all = Stream.concat(prefill.stream(), decode.stream()).toList();
		boolean blocked = !all.isEmpty() && !reachesAny(all);
		if (s.isWorkerCountStable(now) && !prefill.isEmpty() && !decode.isEmpty()) {
			blocked |= this.gateway.engineTimes(upstream)
				.statistics()
				.filter((statistics) -> statistics.samples() >= MIN_SAMPLES)
				.map((statistics) -> new ObservedLoad(statistics.samples(), ThroughputModel.of(statistics, engine)))
				.map((observed) -> !rebalance(s, observed, prefill, decode, now))
				.orElse(false);
		}
		s.updateBlocked(blocked, now);
	}

	private boolean reachesAny(List<WorkerInfo> workers) {
		if (workers.stream().anyMatch(this.paths::reachesDirectly)) {
			return true;
		}
		workers.stream().limit(MAX_PATH_CHECKS).forEach(this.paths::checkSuspected);
		return false;
	}

	// Returns false if workers should change, and there is no direct path to any of them.
	private boolean rebalance(UpstreamState s, ObservedLoad observed, List<WorkerInfo> prefill, List<WorkerInfo> decode,
			long now) {
		int best = StagePlanner.prefillWorkers(prefill.size(), decode.size(), observed.throughput(),
				StagePlanner.requiredGain(observed.samples()));
		WorkerStage stage = (best < prefill.size()) ? WorkerStage.DECODE : WorkerStage.PREFILL;
		if (best == prefill.size() || !s.mayMoveTo(stage, now)) {
			return true;
		}
		int n = (stage == WorkerStage.DECODE) ? prefill.size() - best
				: Math.min(best - prefill.size(), allowedDecodeDepartures(decode));
		if (n <= 0) {
			return true;
		}
		List<WorkerInfo> from = (stage == WorkerStage.DECODE) ? prefill : decode;
		if (!reachesAny(from)) {
			return false;
		}
		Logger.info("[stage] prefill={} decode={} wanted-prefill={} seen={}", prefill.size(), decode.size(), best,
				observed);
		s.onChangesStarted(stage, now);
		startChanges(from, (stage == WorkerStage.DECODE) ? decode : prefill, n, stage, now);
		return true;
	}

	private int allowedDecodeDepartures(List<WorkerInfo> decode) {
		String upstream = decode.get(0).upstream();
		long leaving = this.activeChanges.values()
			.stream()
			.filter((task) -> task.targetStage() == WorkerStage.PREFILL && task.worker().upstream().equals(upstream))
			.count();
		return (int) (Math.max(1, (int) (MAX_LEAVING_FRACTION * decode.size())) - leaving);
	}

	// Prefers workers of the halls with the most surplus in the source stage, so that
	// each hall keeps workers of both stages and KV caches are not transferred between
	// halls.
	private void startChanges(List<WorkerInfo> from, List<WorkerInfo> to, int n, WorkerStage stage, long now) {
		List<WorkerInfo> remaining = new ArrayList<>(from);
		remaining.removeIf((w) -> pauseRemainingMs(w) > 0 || !this.paths.reachesDirectly(w));
		for (int i = Math.min(n, remaining.size()); i > 0; i--) {
			Comparator<WorkerInfo> order = Comparator.comparing((WorkerInfo w) -> failedRecently(w, now))
				.thenComparingLong((WorkerInfo w) -> countInHall(to, w.hall()) - countInHall(remaining, w.hall()))
				.thenComparing(WorkerInfo::id);
			WorkerInfo w = remaining.stream().min(order).orElseThrow();
			remaining.remove(w);
			to.add(w);
			startChange(w, stage, now);
		}
	}

	private long pauseRemainingMs(WorkerInfo w) {
		return this.gateway.roster().pauseRemainingMs(w, this.clock.getAsLong());
	}

	private boolean failedRecently(WorkerInfo w, long now) {
		return now - this.failedAt.getOrDefault(w.id(), Long.MIN_VALUE / 2) < UpstreamState.REVERSAL_DELAY_MS;
	}

	private static long countInHall(List<WorkerInfo> l, String hall) {
		return l.stream().filter((w) -> w.hall().equals(hall)).count();
	}

	private void startChange(WorkerInfo w, WorkerStage stage, long now) {
		StageChangeTask task = new StageChangeTask(this.leadership, this.port, this.timer, this.clock, this.vmName, w,
				stage, this.propagationMs, this.paths, this::pauseRemainingMs, (succeeded) -> {
					this.activeChanges.remove(w.id());
					this.failedAt.values()
						.removeIf((at) -> this.clock.getAsLong() - at >= UpstreamState.REVERSAL_DELAY_MS);
					if (!succeeded) {
						this.failedAt.put(w.id(), this.clock.getAsLong());
					}
					this.upstreamStates.get(w.upstream()).onChangeEnded(succeeded, this.clock.getAsLong());
				});
		this.activeChanges.put(w.id(), task);
		task.start(now);
	}

	/**
	 * The throughput model and the number of requests that it is based on.
	 */
	private record ObservedLoad(int samples, ThroughputModel throughput) {

	}

}
