package io.shallotspur.replay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

import io.shallotspur.contract.Contract;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.contract.RequestClass;
import io.shallotspur.fleet.WorkerRole;
import io.shallotspur.replay.fake.EventQueue;

/**
 * A bound that no policy can beat: the most model requests of a trace that can meet their
 * targets if work flows like a fluid. Each preamble counts as cached everywhere, each
 * decode worker as always full, and the future as known. Stateless and thread-safe.
 * <p>
 * For prefill, links and decode in turn: of the requests that come in an interval of
 * time, some part of the work falls into that interval whatever the policy does, and what
 * exceeds its capacity is surely missed. Disjoint intervals add up.
 */
final class FluidBound {

	private static final long GRID_MS = 500;

	private FluidBound() {
	}

	/**
	 * Returns an upper bound on the goodput ratio of the model classes.
	 * @param fleet the fleet
	 * @param contracts the contracts
	 * @param trace the trace
	 * @return the ratio; 1 if the trace has no model request
	 */
	static double modelGoodput(Fleet fleet, Collection<Contract> contracts, List<TraceLine> trace) {
		ContractSet set = ContractSet.of(contracts);
		Set<String> poisoned = poisoned(trace);
		long stayed = 0;
		double missed = 0;
		for (Fleet.UpstreamSpec u : fleet.upstreams()) {
			if (!u.model()) {
				continue;
			}
			Counted c = count(u, set, trace, poisoned);
			stayed += c.stayed;
			double prefill = missed(c.prefill, Capacity.prefill(u, trace));
			double link = missed(c.link, Capacity.links(u, trace));
			double decode = missed(c.decode, Capacity.decode(u, trace));
			missed += c.doomed + Math.max(prefill, Math.max(link, decode));
		}
		return (stayed > 0) ? 1 - missed / stayed : 1;
	}

	private static Counted count(Fleet.UpstreamSpec u, ContractSet set, List<TraceLine> trace, Set<String> poisoned) {
		Counted c = new Counted();
		Set<String> seen = new HashSet<>();
		for (TraceLine line : trace) {
			if (line instanceof TraceLine.Crash x) {
				c.crashes.add(x.atMs());
			}
		}
		for (TraceLine line : trace) {
			if (!(line instanceof TraceLine.Request r) || r.tokens() == null || r.cancelAfterMs() != null) {
				continue;
			}
			RequestClass k = set.find(r.customer()).flatMap((x) -> x.findClass(r.className())).orElse(null);
			if (k == null || !k.upstream().equals(u.name())) {
				continue;
			}
			c.stayed++;
			if (poisoned.contains(r.identity())) {
				c.doomed++;
			}
			else if (seen.add(r.identity())) {
				addJobs(c, u, r, r.tokens(), k);
			}
		}
		return c;
	}

	private static void addJobs(Counted c, Fleet.UpstreamSpec u, TraceLine.Request r, TraceLine.Tokens t,
			RequestClass k) {
		int cached = (t.prefix() != null) ? t.prefix().tokens() : 0;
		long first = r.atMs() + k.ttftMs();
		double fastest = u.workers()
			.stream()
			.filter((w) -> w.worker().role() == WorkerRole.PREFILL)
			.mapToDouble(Fleet.WorkerSpec::prefillMsPerToken)
			.min()
			.orElse(1);
		double slowest = u.workers().stream().mapToDouble(FluidBound::fullStepMs).max().orElse(1);
		c.prefill.add(new Job(r.atMs(), first, first, (t.prompt() - cached) * fastest, 0));
		double megabytes = t.prompt()
				* u.workers().stream().mapToDouble((w) -> w.worker().kvMbPerToken()).min().orElse(0);
		c.link.add(new Job(r.atMs(), first, first, megabytes, 0));
		long deadline = r.atMs() + k.deadlineMs();
		long last = Math.min(deadline, first + (long) Math.ceil(t.output() * slowest));
		boolean cut = c.crashes.stream().anyMatch((at) -> at >= r.atMs() && at <= last);
		// An answer that has begun gets a token in each step, whatever the contract
		// allows, unless a crash interrupts it.
		c.decode.add(new Job(r.atMs(), first, cut ? deadline : last, t.output(), cut ? 0 : slowest));
	}

	// Returns how many jobs are missed at least.
	private static double missed(List<Job> jobs, Capacity capacity) {
		long end = jobs.stream().mapToLong(Job::due).max().orElse(0);
		int n = (int) (end / GRID_MS) + 2;
		double[] best = new double[n];
		for (int s = 0; s < n; s++) {
			best[s] = Math.max(best[s], (s > 0) ? best[s - 1] : 0);
			for (int t = s + 1; t < n; t++) {
				long from = s * GRID_MS;
				long to = t * GRID_MS;
				double[] work = jobs.stream()
					.filter((j) -> j.from() >= from && j.from() < to)
					.mapToDouble((j) -> j.workBy(to))
					.filter((w) -> w > 0)
					.toArray();
				best[t] = Math.max(best[t], best[s] + dropped(work, capacity.between(from, to)));
			}
		}
		return best[n - 1];
	}

	// Drops the largest first, so that no choice drops fewer.
	private static int dropped(double[] work, double capacity) {
		double excess = Arrays.stream(work).sum() - capacity;
		if (excess <= 0) {
			return 0;
		}
		Arrays.sort(work);
		int dropped = 0;
		while (excess > 0 && dropped < work.length) {
			excess -= work[work.length - 1 - dropped];
			dropped++;
		}
		return dropped;
	}

	private static double fullStepMs(Fleet.WorkerSpec w) {
		return w.stepBaseMs() + w.stepMsPerRequest() * w.worker().slots();
	}

	private static Set<String> poisoned(List<TraceLine> trace) {
		Map<String, String> identities = new HashMap<>();
		trace.forEach((l) -> {
			if (l instanceof TraceLine.Request r) {
				identities.put(r.id(), r.identity());
			}
		});
		Set<String> poisoned = new HashSet<>();
		trace.forEach((l) -> {
			if (l instanceof TraceLine.Poison p && identities.containsKey(p.id())) {
				poisoned.add(identities.get(p.id()));
			}
		});
		return poisoned;
	}

	/**
	 * The work that the workers of one role can do, less the times in which the trace
	 * takes them away.
	 */
	private static final class Capacity {

		private final Map<String, Double> rates = new HashMap<>();

		private final List<Away> away = new ArrayList<>();

		private Capacity(Fleet.UpstreamSpec u, WorkerRole role, ToDoubleFunction<Fleet.WorkerSpec> rate,
				List<TraceLine> trace) {
			u.workers()
				.stream()
				.filter((w) -> w.worker().role() == role)
				.forEach((w) -> this.rates.put(w.worker().id(), rate.applyAsDouble(w)));
			for (TraceLine l : trace) {
				if (l instanceof TraceLine.Crash c && this.rates.containsKey(c.worker()) && !isAway(c)) {
					this.away.add(new Away(c.worker(), c.atMs(), c.atMs() + Timing.RESTART / EventQueue.MS));
				}
			}
		}

		static Capacity prefill(Fleet.UpstreamSpec u, List<TraceLine> trace) {
			return new Capacity(u, WorkerRole.PREFILL, (w) -> 1, trace);
		}

		static Capacity decode(Fleet.UpstreamSpec u, List<TraceLine> trace) {
			return new Capacity(u, WorkerRole.DECODE, (w) -> w.worker().slots() / fullStepMs(w), trace);
		}

		static Capacity links(Fleet.UpstreamSpec u, List<TraceLine> trace) {
			return new Capacity(u, WorkerRole.DECODE, (w) -> w.worker().linkMbPerS() / 1000, trace);
		}

		private boolean isAway(TraceLine.Crash c) {
			return this.away.stream().anyMatch((a) -> a.worker().equals(c.worker()) && c.atMs() < a.to());
		}

		double between(long from, long to) {
			double sum = this.rates.values().stream().mapToDouble((r) -> r * (to - from)).sum();
			for (Away a : this.away) {
				long gone = Math.min(to, a.to()) - Math.max(from, a.from());
				sum -= Math.max(0, gone) * this.rates.getOrDefault(a.worker(), 0.0);
			}
			return sum;
		}

	}

	private static final class Counted {

		private final List<Job> prefill = new ArrayList<>();

		private final List<Job> link = new ArrayList<>();

		private final List<Job> decode = new ArrayList<>();

		private final List<Long> crashes = new ArrayList<>();

		private long stayed;

		private long doomed;

	}

	/**
	 * Work of one request.
	 *
	 * @param from when it can begin
	 * @param begunBy when it must have begun
	 * @param due when it must be done
	 * @param work how much it is
	 * @param slowest the longest time that a unit takes once it has begun, or 0 if it may
	 * rest
	 */
	private record Job(long from, long begunBy, long due, double work, double slowest) {

		// The least part of the work that is done by then.
		double workBy(long to) {
			if (to >= this.due) {
				return this.work;
			}
			return (this.slowest > 0) ? Math.max(0, Math.floor((to - this.begunBy) / this.slowest)) : 0;
		}

	}

	private record Away(String worker, long from, long to) {

	}

}
