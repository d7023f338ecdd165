package io.shallotspur.stage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

import org.tinylog.Logger;

import io.shallotspur.gateway.EngineTimes;
import io.shallotspur.gateway.Gateway;
import io.shallotspur.gateway.GatewayTimer;
import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.registry.Duty;
import io.shallotspur.route.EngineSpec;
import io.shallotspur.route.RouteTable;
import io.shallotspur.route.UpstreamSpec;

/**
 * Keeps the workers of each model upstream shared out between prefill and decode as the
 * load needs it, while this VM holds the duty. Not thread-safe; confined to the gateway's
 * thread.
 */
public final class StageKeeper {

	private static final long TICK_MS = 1_000;

	// Fewer requests say little of the traffic; a VM among a hundred sees as many in ten
	// seconds.
	private static final int LEAST_SAMPLES = 6;

	// After a change the load is watched for so long before the next one, ms: the time of
	// a change over and of a few answers.
	private static final long SETTLE_MS = 10_000;

	// Workers that crash are back within some seconds, ms. Shared out again at once, the
	// others would be short in the other stage when those return. Before the first
	// answers there is no time to lose.
	private static final long LASTING_MS = 5_000;

	// Decode workers that leave at a time, as a part of all workers: prompts can wait or
	// be prefilled elsewhere, answers cannot.
	private static final double MOST_LEAVING = 0.125;

	private final String vm;

	private final Gateway gateway;

	private final Duty duty;

	private final StagePort port;

	private final GatewayTimer timer;

	private final LongSupplier clock;

	private final Map<String, StageSwitch> running = new HashMap<>();

	private final Map<String, Long> settledAt = new HashMap<>();

	// Since when another split has been wanted.
	private final Map<String, Long> wantedSince = new HashMap<>();

	private boolean stopped;

	/**
	 * Creates a keeper that does nothing yet.
	 * @param vm this VM's name
	 * @param gateway knows workers and load
	 * @param duty the duty
	 * @param port calls to workers
	 * @param timer the gateway's timer
	 * @param clock the present time in milliseconds
	 */
	public StageKeeper(String vm, Gateway gateway, Duty duty, StagePort port, GatewayTimer timer, LongSupplier clock) {
		this.vm = vm;
		this.gateway = gateway;
		this.duty = duty;
		this.port = port;
		this.timer = timer;
		this.clock = clock;
	}

	/**
	 * Begins to look after the upstreams.
	 */
	public void start() {
		this.timer.after(TICK_MS, this::tick);
	}

	/**
	 * Stops: no further order is given.
	 */
	public void stop() {
		this.stopped = true;
	}

	private void tick() {
		if (this.stopped) {
			return;
		}
		long now = this.clock.getAsLong();
		this.gateway.table().ifPresent((t) -> look(t, now));
		this.timer.after(TICK_MS, this::tick);
	}

	private void look(RouteTable t, long now) {
		List<UpstreamSpec> l = t.upstreams().stream().filter((u) -> u.engine() != null).toList();
		if (l.isEmpty()) {
			return;
		}
		this.duty.askIfFree(now);
		if (this.duty.mayAct(now)) {
			l.forEach((u) -> look(u.name(), u.engine(), now));
		}
	}

	private void look(String upstream, EngineSpec engine, long now) {
		boolean settled = now - this.settledAt.getOrDefault(upstream, now - SETTLE_MS) >= SETTLE_MS;
		boolean busy = this.running.values().stream().anyMatch((s) -> s.worker().upstream().equals(upstream));
		if (!settled || busy) {
			return;
		}
		List<WorkerInfo> prefill = new ArrayList<>();
		List<WorkerInfo> decode = new ArrayList<>();
		for (WorkerInfo w : this.gateway.roster().staying(upstream, now)) {
			if (w.stage() == WorkerStage.PREFILL) {
				prefill.add(w);
			}
			else if (w.stage() == WorkerStage.DECODE) {
				decode.add(w);
			}
		}
		if (!prefill.isEmpty() && !decode.isEmpty()) {
			share(upstream, engine, prefill, decode, now);
		}
	}

	private void share(String upstream, EngineSpec engine, List<WorkerInfo> prefill, List<WorkerInfo> decode,
			long now) {
		EngineTimes times = this.gateway.times(upstream);
		boolean measured = times.samples() >= LEAST_SAMPLES;
		StageLoad load = measured ? StageLoad.measured(times, engine) : StageLoad.unseen(engine);
		int best = StageSplit.prefillWorkers(prefill.size(), decode.size(), load,
				measured ? StageSplit.MEASURED_GAIN : StageSplit.ASSUMED_GAIN);
		if (best == prefill.size()) {
			this.wantedSince.remove(upstream);
			return;
		}
		long since = this.wantedSince.computeIfAbsent(upstream, (u) -> now);
		if (times.samples() > 0 && now - since < LASTING_MS) {
			return;
		}
		this.wantedSince.remove(upstream);
		Logger.info("[stage] upstream={} prefill={} decode={} wanted-prefill={} load={} samples={}", upstream,
				prefill.size(), decode.size(), best, load, times.samples());
		int most = Math.max(1, (int) (MOST_LEAVING * (prefill.size() + decode.size())));
		if (best < prefill.size()) {
			change(prefill, decode, prefill.size() - best, WorkerStage.DECODE, now);
		}
		else {
			change(decode, prefill, Math.min(most, best - prefill.size()), WorkerStage.PREFILL, now);
		}
	}

	// Takes workers from the halls that have most of their stage, so that each keeps some
	// and KV caches need not cross halls.
	private void change(List<WorkerInfo> from, List<WorkerInfo> to, int n, WorkerStage stage, long now) {
		List<WorkerInfo> left = new ArrayList<>(from);
		for (int i = 0; i < n; i++) {
			Comparator<WorkerInfo> order = Comparator
				.comparingLong((WorkerInfo w) -> inHall(to, w.hall()) - inHall(left, w.hall()))
				.thenComparing(WorkerInfo::id);
			WorkerInfo w = left.stream().min(order).orElseThrow();
			left.remove(w);
			to.add(w);
			begin(w, stage, now);
		}
	}

	private static long inHall(List<WorkerInfo> l, String hall) {
		return l.stream().filter((w) -> w.hall().equals(hall)).count();
	}

	private void begin(WorkerInfo w, WorkerStage stage, long now) {
		StageSwitch s = new StageSwitch(this.duty, this.port, this.timer, this.clock, this.vm, w, stage, () -> {
			this.running.remove(w.id());
			this.settledAt.put(w.upstream(), this.clock.getAsLong());
		});
		this.running.put(w.id(), s);
		s.start(now);
	}

}
