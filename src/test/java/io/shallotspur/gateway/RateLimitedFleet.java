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
import io.shallotspur.serving.LoadLevel;

/**
 * Several VMs in virtual time in front of plain workers that may report rate limits.
 * Callers use the VMs that {@link EntryVmDirectory} selects, and sometimes a standby VM.
 */
final class RateLimitedFleet {

	private static final long WINDOW_MS = 4_000;

	// The bound applies from this long after a worker first reported a limit.
	private static final long SETTLING_MS = 3_000;

	// A VM has to respect a limit that was reported to it this long ago.
	private static final long PROPAGATION_MS = 500;

	private static final double TOLERATED_FACTOR = 1.5;

	private static final int TOLERATED_EXTRA = 5;

	private static final long SERVICE_TIME_MS = 80;

	private static final long RESPONSE_DEADLINE_MS = 1_000;

	private static final int STEP_MS = 10;

	private final Random random;

	private final List<GatewayFixture> vms = new ArrayList<>();

	private final List<EntryVm> entries = new ArrayList<>();

	// The limits that each worker has reported, by the time they were set.
	private final Map<String, TreeMap<Long, WorkerRateLimit>> limitHistory = new HashMap<>();

	private final Map<String, Long> firstReportedAt = new HashMap<>();

	private final Deque<PendingResponse> pending = new ArrayDeque<>();

	private final List<ReceivedRequest> received = new ArrayList<>();

	private final Map<GatewayFixture, Integer> collectedRuns = new HashMap<>();

	private final List<CallerRequest> calls = new ArrayList<>();

	private double firstVmShare;

	private long now;

	RateLimitedFleet(int vms, int workers, long seed) {
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

	void setLimit(String worker, WorkerRateLimit limit) {
		this.limitHistory.computeIfAbsent(worker, (w) -> new TreeMap<>()).put(this.now, limit);
	}

	long now() {
		return this.now;
	}

	/**
	 * Simulates traffic.
	 * @param ms its duration, in milliseconds
	 * @param perSecond requests per second at all VMs together
	 * @param strayShare the fraction that goes to any VM and not to a serving one
	 */
	void run(long ms, double perSecond, double strayShare) {
		long end = this.now + ms;
		while (this.now < end) {
			sendDueResponses();
			double expected = perSecond * STEP_MS / 1_000;
			while (this.random.nextDouble() < expected) {
				call(strayShare);
				expected -= 1;
			}
			this.now += STEP_MS;
			this.vms.forEach((f) -> f.timer.advance(STEP_MS));
			collectRequests();
		}
	}

	private void call(double strayShare) {
		boolean stray = this.random.nextDouble() < strayShare;
		List<GatewayFixture> l = this.vms.stream()
			.filter((f) -> stray || !f.gateway.entryVms().isStandby(f.timer.now()))
			.toList();
		boolean first = this.random.nextDouble() < this.firstVmShare;
		call(first ? l.get(0) : l.get(this.random.nextInt(l.size())));
	}

	private void call(GatewayFixture f) {
		this.calls.add(new CallerRequest(this.now, f.call("unsafe")));
		collectRequests();
	}

	/**
	 * Makes callers prefer the first serving VM.
	 * @param share the fraction that always uses it; the others use any
	 */
	void preferFirst(double share) {
		this.firstVmShare = share;
	}

	/**
	 * Sets or clears the report of a VM that it is overloaded, which may change the set
	 * that callers are directed to.
	 * @param vm the VM
	 * @param overloaded whether it reports that requests wait for its processor
	 * @param receivers the VMs that receive the change
	 */
	void setOverloaded(int vm, boolean overloaded, IntPredicate receivers) {
		EntryVm e = this.entries.get(vm).withLoadLevel(overloaded ? LoadLevel.OVERLOADED : LoadLevel.NORMAL);
		this.entries.set(vm, e);
		IntStream.range(0, this.vms.size())
			.filter(receivers)
			.forEach((i) -> this.vms.get(i).gateway.entryVms().register(e));
	}

	int size() {
		return this.vms.size();
	}

	// Collects the requests that workers have received since the last call.
	private void collectRequests() {
		for (int i = 0; i < this.vms.size(); i++) {
			GatewayFixture f = this.vms.get(i);
			List<FakeWorkers.Run> runs = f.workers.runs;
			for (int r = this.collectedRuns.getOrDefault(f, 0); r < runs.size(); r++) {
				String worker = runs.get(r).call.worker().id();
				this.received.add(new ReceivedRequest(this.now, worker, i, isInformed(i, worker)));
				this.pending.add(new PendingResponse(this.now + SERVICE_TIME_MS, runs.get(r), i, worker));
			}
			this.collectedRuns.put(f, runs.size());
		}
	}

	private boolean isInformed(int vm, String worker) {
		Long at = this.firstReportedAt.get(vm + worker);
		return at != null && this.now - at >= PROPAGATION_MS;
	}

	private void sendDueResponses() {
		while (!this.pending.isEmpty() && this.pending.peekFirst().at() <= this.now) {
			PendingResponse response = this.pending.removeFirst();
			TreeMap<Long, WorkerRateLimit> limits = this.limitHistory.get(response.worker());
			WorkerRateLimit limit = (limits != null) ? limits.lastEntry().getValue() : WorkerRateLimit.UNLIMITED;
			if (limit.isLimited()) {
				this.firstReportedAt.putIfAbsent(response.vm() + response.worker(), this.now);
			}
			response.run().respondWithLimit(limit);
		}
	}

	/**
	 * Returns the windows in which a worker received more, from the VMs that it had
	 * informed, than the platform tolerates: one and a half times the limit and five
	 * requests. Where the limit changes, the highest one counts that VMs can have known
	 * in the window.
	 * @return one line per window
	 */
	List<String> violations() {
		List<String> lines = new ArrayList<>();
		this.limitHistory.forEach((worker, limits) -> {
			long from = limits.firstEntry().getKey() + SETTLING_MS;
			List<Long> times = this.received.stream()
				.filter((a) -> a.worker().equals(worker) && a.informed() && a.at() >= from)
				.map(ReceivedRequest::at)
				.toList();
			for (long t : times) {
				long count = times.stream().filter((u) -> u >= t && u < t + WINDOW_MS).count();
				double max = TOLERATED_FACTOR * highestLimit(limits, t) * WINDOW_MS / 1_000 + TOLERATED_EXTRA;
				if (count > max) {
					lines.add(worker + " at " + t + " ms: " + count + " of " + max + " " + limits);
				}
			}
		});
		return lines;
	}

	private static double highestLimit(TreeMap<Long, WorkerRateLimit> limits, long from) {
		return limits.subMap(limits.floorKey(from - PROPAGATION_MS - SERVICE_TIME_MS), true, from + WINDOW_MS, false)
			.values()
			.stream()
			.mapToDouble(WorkerRateLimit::perSecond)
			.max()
			.orElseThrow();
	}

	/**
	 * Returns how many requests a worker has received.
	 * @param worker the worker
	 * @param from the start of the period, in milliseconds
	 * @return the number of requests from all VMs
	 */
	long receivedSince(String worker, long from) {
		return this.received.stream().filter((a) -> a.worker().equals(worker) && a.at() >= from).count();
	}

	/**
	 * Returns the fraction of requests that were answered successfully in time.
	 * @param from the earliest arrival of these requests, in milliseconds
	 * @return from 0 to 1
	 */
	double servedShare(long from) {
		List<CallerRequest> l = this.calls.stream()
			.filter((c) -> c.at() >= from && c.at() < this.now - RESPONSE_DEADLINE_MS)
			.toList();
		return (double) l.stream().filter((c) -> c.call().caller().status == 200).count() / l.size();
	}

	/**
	 * Returns the retry delays of refused requests.
	 * @return milliseconds each
	 */
	List<Long> retryDelays() {
		return this.calls.stream()
			.map((c) -> c.call().caller().refusal)
			.filter(Objects::nonNull)
			.map(RelayRefusal::retryAfterMs)
			.toList();
	}

	private record CallerRequest(long at, Call call) {

	}

	private record PendingResponse(long at, FakeWorkers.Run run, int vm, String worker) {

	}

	private record ReceivedRequest(long at, String worker, int vm, boolean informed) {

	}

}
