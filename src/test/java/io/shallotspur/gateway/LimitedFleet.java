package io.shallotspur.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

import io.shallotspur.gateway.GatewayFixture.Call;

/**
 * Several VMs in virtual time before plain workers that may name limits. Callers use the
 * VMs that {@link EntryVmDirectory} names, and now and then one that stands by.
 */
final class LimitedFleet {

	private static final long WINDOW_MS = 4_000;

	// From this long after a worker first named a limit the bound holds.
	private static final long SETTLING_MS = 3_000;

	// What a VM was told this long ago binds it.
	private static final long NOTICE_MS = 500;

	private static final double TOLERATED = 1.5;

	private static final int BESIDE = 5;

	private static final long ANSWER_MS = 80;

	private static final long ANSWERED_BY_MS = 1_000;

	private static final int STEP_MS = 10;

	private final Random random;

	private final List<GatewayFixture> vms = new ArrayList<>();

	private final List<EntryVm> entries = new ArrayList<>();

	// What each worker has named, and since when.
	private final Map<String, TreeMap<Long, WorkerLimit>> history = new HashMap<>();

	private final Map<String, Long> toldAt = new HashMap<>();

	private final Deque<Due> due = new ArrayDeque<>();

	private final List<Arrived> arrived = new ArrayList<>();

	private final Map<GatewayFixture, Integer> seen = new HashMap<>();

	private final List<Sent> calls = new ArrayList<>();

	private double firstShare;

	private long now;

	LimitedFleet(int vms, int workers, long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < vms; i++) {
			this.entries.add(new EntryVm("vms/" + i, "10.1.0." + i + ":80", "r", "hall-" + i % 3, 1, false));
		}
		for (int i = 0; i < vms; i++) {
			this.vms.add(start(i, workers));
		}
	}

	private GatewayFixture start(int i, int workers) {
		GatewayFixture f = new GatewayFixture(0, this.random::nextDouble).configured().addPlainWorkers(workers);
		f.gateway.entryVms().registerSelf(this.entries.get(i));
		this.entries.forEach(f.gateway.entryVms()::register);
		return f;
	}

	void names(String worker, WorkerLimit limit) {
		this.history.computeIfAbsent(worker, (w) -> new TreeMap<>()).put(this.now, limit);
	}

	long now() {
		return this.now;
	}

	/**
	 * Lets callers come.
	 * @param ms for how long, in milliseconds
	 * @param perSecond requests a second at all VMs together
	 * @param strayShare the part that goes to any VM and not to one that serves
	 */
	void run(long ms, double perSecond, double strayShare) {
		long end = this.now + ms;
		while (this.now < end) {
			answer();
			double expected = perSecond * STEP_MS / 1_000;
			while (this.random.nextDouble() < expected) {
				call(strayShare);
				expected -= 1;
			}
			this.now += STEP_MS;
			this.vms.forEach((f) -> f.timer.advance(STEP_MS));
			collect();
		}
	}

	private void call(double strayShare) {
		boolean stray = this.random.nextDouble() < strayShare;
		List<GatewayFixture> l = this.vms.stream()
			.filter((f) -> stray || !f.gateway.entryVms().isStandby(f.timer.now()))
			.toList();
		boolean first = this.random.nextDouble() < this.firstShare;
		call(first ? l.get(0) : l.get(this.random.nextInt(l.size())));
	}

	private void call(GatewayFixture f) {
		this.calls.add(new Sent(this.now, f.call("unsafe")));
		collect();
	}

	/**
	 * Has callers prefer the first VM that serves.
	 * @param share the part that uses it in any case; the others use any
	 */
	void prefersFirst(double share) {
		this.firstShare = share;
	}

	/**
	 * Has a VM taken out of the set that callers are told to use, or into it again.
	 * @param vm the VM
	 * @param crowded whether it says that callers wait for it
	 * @param hears which VMs hear of it
	 */
	void crowded(int vm, boolean crowded, IntPredicate hears) {
		EntryVm e = this.entries.get(vm).withOverloaded(crowded);
		this.entries.set(vm, e);
		IntStream.range(0, this.vms.size()).filter(hears).forEach((i) -> this.vms.get(i).gateway.entryVms().register(e));
	}

	int size() {
		return this.vms.size();
	}

	// Requests that have come to workers since the last look.
	private void collect() {
		for (int i = 0; i < this.vms.size(); i++) {
			GatewayFixture f = this.vms.get(i);
			List<FakeWorkers.Run> runs = f.workers.runs;
			for (int r = this.seen.getOrDefault(f, 0); r < runs.size(); r++) {
				String worker = runs.get(r).call.worker().id();
				this.arrived.add(new Arrived(this.now, worker, i, told(i, worker)));
				this.due.add(new Due(this.now + ANSWER_MS, runs.get(r), i, worker));
			}
			this.seen.put(f, runs.size());
		}
	}

	private boolean told(int vm, String worker) {
		Long at = this.toldAt.get(vm + worker);
		return at != null && this.now - at >= NOTICE_MS;
	}

	private void answer() {
		while (!this.due.isEmpty() && this.due.peekFirst().at() <= this.now) {
			Due d = this.due.removeFirst();
			TreeMap<Long, WorkerLimit> h = this.history.get(d.worker());
			WorkerLimit limit = (h != null) ? h.lastEntry().getValue() : WorkerLimit.NONE;
			if (limit.named()) {
				this.toldAt.putIfAbsent(d.vm() + d.worker(), this.now);
			}
			d.run().respondWithLimit(limit);
		}
	}

	/**
	 * Returns the windows in which a worker got more from the VMs that it had told than
	 * the platform tolerates: one and a half times the limit and five requests. Where the
	 * limit changes, the highest one counts of which VMs can have heard in the window.
	 * @return a line for each
	 */
	List<String> broken() {
		List<String> l = new ArrayList<>();
		this.history.forEach((worker, h) -> {
			long from = h.firstEntry().getKey() + SETTLING_MS;
			List<Long> times = this.arrived.stream()
				.filter((a) -> a.worker().equals(worker) && a.told() && a.at() >= from)
				.map(Arrived::at)
				.toList();
			for (long t : times) {
				long n = times.stream().filter((u) -> u >= t && u < t + WINDOW_MS).count();
				double most = TOLERATED * highest(h, t) * WINDOW_MS / 1_000 + BESIDE;
				if (n > most) {
					l.add(worker + " at " + t + " ms: " + n + " of " + most + " " + h);
				}
			}
		});
		return l;
	}

	private static double highest(TreeMap<Long, WorkerLimit> h, long from) {
		return h.subMap(h.floorKey(from - NOTICE_MS - ANSWER_MS), true, from + WINDOW_MS, false)
			.values()
			.stream()
			.mapToDouble(WorkerLimit::perSecond)
			.max()
			.orElseThrow();
	}

	/**
	 * Returns how many requests a worker has got.
	 * @param worker the worker
	 * @param from since when, in milliseconds
	 * @return the number of requests, of all VMs
	 */
	long arrivedSince(String worker, long from) {
		return this.arrived.stream().filter((a) -> a.worker().equals(worker) && a.at() >= from).count();
	}

	/**
	 * Returns the part of the callers who were answered with success within a time.
	 * @param from since when they came, in milliseconds
	 * @return from 0 to 1
	 */
	double servedShare(long from) {
		List<Sent> l = this.calls.stream().filter((c) -> c.at() >= from && c.at() < this.now - ANSWERED_BY_MS).toList();
		return (double) l.stream().filter((c) -> c.call().caller().status == 200).count() / l.size();
	}

	/**
	 * Returns the advice that refused callers got.
	 * @return milliseconds each
	 */
	List<Long> advice() {
		return this.calls.stream()
			.map((c) -> c.call().caller().refusal)
			.filter(Objects::nonNull)
			.map(RelayRefusal::retryAfterMs)
			.toList();
	}

	private record Sent(long at, Call call) {

	}

	private record Due(long at, FakeWorkers.Run run, int vm, String worker) {

	}

	private record Arrived(long at, String worker, int vm, boolean told) {

	}

}
