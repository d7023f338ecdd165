package io.shallotspur.stage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

import io.shallotspur.gateway.Gateway;
import io.shallotspur.gateway.GatewayTimer;
import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.registry.Leadership;
import io.shallotspur.route.EngineSpec;
import io.shallotspur.route.RouteTable;
import io.shallotspur.route.UpstreamSpec;

/**
 * Keeps the workers of each model upstream shared out between prefill and decode as the
 * load needs it, while this VM holds the duty. Not thread-safe; confined to the gateway's
 * thread.
 */
public final class StageRebalancer {

	private static final long TICK_MS = 1_000;

	// Fewer requests may all be of one odd kind.
	private static final int LEAST_SAMPLES = 3;

	// After a change the load is watched for so long before one that goes the other way,
	// ms: the time of a change over and of a few answers. Otherwise two workers could
	// change places again and again.
	private static final long SETTLE_MS = 10_000;

	// After a change that failed, ms: another worker may do it, and one that refuses is
	// not asked all the time.
	private static final long RETRY_MS = 3_000;

	// Workers that crash are back within some seconds, ms. Shared out again at once, the
	// others would be short in the other stage when those return.
	private static final long LASTING_MS = 5_000;

	// Decode workers that leave at a time, as a part of them: prompts can wait or
	// be prefilled elsewhere, answers cannot.
	private static final double MOST_LEAVING = 0.125;

	private final String vm;

	private final Gateway gateway;

	private final Leadership duty;

	private final StagePort port;

	private final GatewayTimer timer;

	private final LongSupplier clock;

	private final long heardByAllMs;

	private final Map<String, StageChangeTask> running = new HashMap<>();

	private final Map<String, Shares> shares = new HashMap<>();

	// Workers that did not change over, and when that was known.
	private final Map<String, Long> failedAt = new HashMap<>();

	private boolean stopped;

	/**
	 * Creates a keeper that does nothing yet.
	 * @param vm this VM's name
	 * @param gateway knows workers and load
	 * @param duty the duty
	 * @param port calls to workers
	 * @param timer the gateway's timer
	 * @param clock the present time in milliseconds
	 * @param heardByAllMs how long after an announcement all VMs have heard of it, in
	 * milliseconds; no order is given before that
	 */
	public StageRebalancer(String vm, Gateway gateway, Leadership duty, StagePort port, GatewayTimer timer,
			LongSupplier clock, long heardByAllMs) {
		this.vm = vm;
		this.gateway = gateway;
		this.duty = duty;
		this.port = port;
		this.timer = timer;
		this.clock = clock;
		this.heardByAllMs = heardByAllMs;
	}

	/**
	 * Begins to look after the upstreams.
	 */
	public void start() {
		this.timer.schedule(TICK_MS, this::tick);
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
		this.gateway.routeTable().ifPresent((t) -> look(t, now));
		this.timer.schedule(TICK_MS, this::tick);
	}

	private void look(RouteTable t, long now) {
		List<UpstreamSpec> l = t.upstreams().stream().filter((u) -> u.engine() != null).toList();
		if (l.isEmpty()) {
			return;
		}
		this.duty.claimIfVacant(now);
		l.forEach((u) -> look(u.name(), u.engine(), now));
	}

	private void look(String upstream, EngineSpec engine, long now) {
		List<WorkerInfo> prefill = new ArrayList<>();
		List<WorkerInfo> decode = new ArrayList<>();
		for (WorkerInfo w : this.gateway.roster().activeWorkers(upstream, now)) {
			// Announced or not, one that is about to change over counts as changed.
			StageChangeTask under = this.running.get(w.id());
			WorkerStage stage = (under != null) ? under.stage() : w.stage();
			if (stage == WorkerStage.PREFILL) {
				prefill.add(w);
			}
			else if (stage == WorkerStage.DECODE) {
				decode.add(w);
			}
		}
		Shares s = this.shares.computeIfAbsent(upstream, (u) -> new Shares());
		s.counted(prefill.size() + decode.size(), now);
		if (this.duty.mayAct(now) && s.lasting(now) && !prefill.isEmpty() && !decode.isEmpty()) {
			this.gateway.engineTimes(upstream)
				.statistics()
				.filter((f) -> f.samples() >= LEAST_SAMPLES)
				.map((f) -> new Seen(f.samples(), ThroughputModel.of(f, engine)))
				.ifPresent((x) -> share(s, x, prefill, decode, now));
		}
	}

	private void share(Shares s, Seen seen, List<WorkerInfo> prefill, List<WorkerInfo> decode, long now) {
		int best = StagePlanner.prefillWorkers(prefill.size(), decode.size(), seen.load(),
				StagePlanner.gain(seen.samples()));
		WorkerStage stage = (best < prefill.size()) ? WorkerStage.DECODE : WorkerStage.PREFILL;
		if (best == prefill.size() || !s.maySendTo(stage, now)) {
			return;
		}
		int n = (stage == WorkerStage.DECODE) ? prefill.size() - best
				: Math.min(best - prefill.size(), roomToLeave(decode));
		if (n <= 0) {
			return;
		}
		Logger.info("[stage] prefill={} decode={} wanted-prefill={} seen={}", prefill.size(), decode.size(), best,
				seen);
		s.sent(stage, now);
		change((stage == WorkerStage.DECODE) ? prefill : decode, (stage == WorkerStage.DECODE) ? decode : prefill, n,
				stage, now);
	}

	private int roomToLeave(List<WorkerInfo> decode) {
		String upstream = decode.get(0).upstream();
		long leaving = this.running.values()
			.stream()
			.filter((s) -> s.stage() == WorkerStage.PREFILL && s.worker().upstream().equals(upstream))
			.count();
		return (int) (Math.max(1, (int) (MOST_LEAVING * decode.size())) - leaving);
	}

	// Takes workers from the halls that have most of their stage, so that each keeps some
	// and KV caches need not cross halls.
	private void change(List<WorkerInfo> from, List<WorkerInfo> to, int n, WorkerStage stage, long now) {
		List<WorkerInfo> left = new ArrayList<>(from);
		for (int i = 0; i < n; i++) {
			Comparator<WorkerInfo> order = Comparator.comparing((WorkerInfo w) -> failedLately(w, now))
				.thenComparingLong((WorkerInfo w) -> inHall(to, w.hall()) - inHall(left, w.hall()))
				.thenComparing(WorkerInfo::id);
			WorkerInfo w = left.stream().min(order).orElseThrow();
			left.remove(w);
			to.add(w);
			begin(w, stage, now);
		}
	}

	private boolean failedLately(WorkerInfo w, long now) {
		return now - this.failedAt.getOrDefault(w.id(), Long.MIN_VALUE / 2) < SETTLE_MS;
	}

	private static long inHall(List<WorkerInfo> l, String hall) {
		return l.stream().filter((w) -> w.hall().equals(hall)).count();
	}

	private void begin(WorkerInfo w, WorkerStage stage, long now) {
		StageChangeTask s = new StageChangeTask(this.duty, this.port, this.timer, this.clock, this.vm, w, stage,
				this.heardByAllMs, (inForce) -> {
					this.running.remove(w.id());
					this.failedAt.values().removeIf((at) -> this.clock.getAsLong() - at >= SETTLE_MS);
					if (!inForce) {
						this.failedAt.put(w.id(), this.clock.getAsLong());
					}
					this.shares.get(w.upstream()).ended(inForce, this.clock.getAsLong());
				});
		this.running.put(w.id(), s);
		s.start(now);
	}

	/**
	 * What a request costs, and how many requests show it.
	 */
	private record Seen(int samples, ThroughputModel load) {

	}

	/**
	 * How the workers of one upstream have been shared out lately. Not thread-safe.
	 */
	private static final class Shares {

		private int workers = -1;

		private long countedAt = Long.MIN_VALUE / 2;

		private @Nullable WorkerStage sentTo;

		private long sentAt;

		private boolean failed;

		void counted(int n, long now) {
			if (n != this.workers && this.workers >= 0) {
				this.countedAt = now;
			}
			this.workers = n;
		}

		boolean lasting(long now) {
			return now - this.countedAt >= LASTING_MS;
		}

		boolean maySendTo(WorkerStage stage, long now) {
			if (this.sentTo == null || this.sentTo == stage) {
				return !this.failed || now - this.sentAt >= RETRY_MS;
			}
			return now - this.sentAt >= SETTLE_MS;
		}

		void sent(WorkerStage stage, long now) {
			this.sentTo = stage;
			this.sentAt = now;
			this.failed = false;
		}

		void ended(boolean inForce, long now) {
			this.sentAt = now;
			this.failed = !inForce;
		}

	}

}
