package io.shallotspur.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Two nodes that share eight workers in virtual time, with innocent requests, about one
 * crash a second by requests with a cause, and as many for other reasons, a sixth of
 * these a rack. A cause comes again until it is refused; then another one comes.
 */
final class CrashSimulation {

	static final int INNOCENT_REQUESTS = 10_000;

	private static final String UPSTREAM = "llm";

	private static final int WORKERS = 8;

	private static final int RACK = 4;

	private static final int NODES = 2;

	private static final long INNOCENT_INTERVAL_MS = 20;

	private static final long EXCHANGE_MS = 400;

	private static final long RESEND_MS = 200;

	// From the start of a run to the first event.
	private static final long FIRST_EVENT_MS = 50;

	private static final int MAX_RESENDS = 4;

	private final Random random;

	private final CrashWorkload workload;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			(a, b) -> (a.at() != b.at()) ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));

	private final List<CrashSuspects> nodes = new ArrayList<>();

	private final int[] starts = new int[WORKERS];

	private final List<List<Run>> running = new ArrayList<>();

	private final Map<Integer, Integer> sentByCause = new HashMap<>();

	// When requests with each cause were sent to a worker, and when these crashed.
	final Map<Integer, List<Long>> arrivals = new HashMap<>();

	final Map<Integer, List<Long>> crashes = new HashMap<>();

	final Set<Long> refusedInnocents = new HashSet<>();

	int innocentsSent;

	int crashesByCauses;

	int otherCrashes;

	private long now;

	private long order;

	CrashSimulation(long seed, CrashWorkload workload) {
		this.random = new Random(seed);
		this.workload = workload;
		for (int i = 0; i < NODES; i++) {
			this.nodes.add(new CrashSuspects(QuarantineLimits.SHARED_WORKERS));
		}
		for (int i = 0; i < WORKERS; i++) {
			this.running.add(new ArrayList<>());
		}
	}

	CrashSimulation run() {
		at(0, this::nextInnocent);
		at(0, this::exchange);
		at(1_000, this::otherCrash);
		at(0, () -> sendCrashing(1));
		while (!this.events.isEmpty() && this.innocentsSent < INNOCENT_REQUESTS) {
			Event e = this.events.poll();
			this.now = e.at();
			e.action().run();
		}
		return this;
	}

	private void at(long delayMs, Runnable action) {
		this.events.add(new Event(this.now + delayMs, this.order++, action));
	}

	private void nextInnocent() {
		send(this.workload.innocent(++this.innocentsSent), 0);
		at(INNOCENT_INTERVAL_MS, this::nextInnocent);
	}

	private boolean isRefused(int node, RequestIdentity r) {
		this.nodes.get(node).review(r, this.now);
		return this.nodes.get(node).isQuarantined(r, this.now);
	}

	private void send(RequestIdentity request, int resends) {
		int node = this.random.nextInt(NODES);
		if (isRefused(node, request)) {
			this.refusedInnocents.add(request.fingerprint());
			return;
		}
		Run r = new Run(request, 0, node, resends, this.now + FIRST_EVENT_MS);
		List<Run> worker = this.running.get(this.random.nextInt(WORKERS));
		worker.add(r);
		for (long progressMs : CrashedRun.PROGRESS_MS) {
			at(FIRST_EVENT_MS + progressMs, () -> progress(worker, r));
		}
		at(200 + this.random.nextInt(3_000), () -> complete(worker, r));
	}

	private void progress(List<Run> worker, Run r) {
		if (worker.contains(r)) {
			this.nodes.get(r.node()).recordProgress(r.crashedAt(this.now), this.now);
		}
	}

	private void complete(List<Run> worker, Run r) {
		if (worker.remove(r)) {
			CrashSuspects node = this.nodes.get(r.node());
			node.recordAnswer(r.request().parts(), UPSTREAM, this.now);
			node.recordCompletion(r.request().fingerprint(), this.now);
		}
	}

	private void sendCrashing(int cause) {
		int node = this.random.nextInt(NODES);
		RequestIdentity request = this.workload.crashing(cause, this.sentByCause.merge(cause, 1, Integer::sum));
		if (isRefused(node, request)) {
			at(1_000, () -> sendCrashing(cause + 1));
			return;
		}
		this.arrivals.computeIfAbsent(cause, (c) -> new ArrayList<>()).add(this.now);
		int worker = this.random.nextInt(WORKERS);
		Run r = new Run(request, cause, node, 0, Long.MAX_VALUE);
		this.running.get(worker).add(r);
		at(50 + this.random.nextInt(200), () -> crashBy(worker, r));
		at(700, () -> sendCrashing(cause));
	}

	private void crashBy(int worker, Run r) {
		if (this.running.get(worker).contains(r)) {
			this.crashesByCauses++;
			this.crashes.computeIfAbsent(r.cause(), (c) -> new ArrayList<>()).add(this.now);
			crash(worker, 0);
		}
	}

	// A worker, or all workers of a rack within some ms.
	private void otherCrash() {
		if (this.random.nextInt(6) == 0) {
			for (int worker = 0; worker < RACK; worker++) {
				crash(worker, this.random.nextInt(20));
			}
			this.otherCrashes += RACK;
		}
		else {
			crash(this.random.nextInt(WORKERS), 0);
			this.otherCrashes++;
		}
		at(900 + this.random.nextInt(1_000), this::otherCrash);
	}

	private void crash(int worker, long delayMs) {
		String instance = worker + "@" + ++this.starts[worker];
		List<Run> lost = List.copyOf(this.running.get(worker));
		this.running.get(worker).clear();
		for (int i = 0; i < NODES; i++) {
			int node = i;
			List<Run> own = lost.stream().filter((r) -> r.node() == node).toList();
			if (!own.isEmpty()) {
				this.nodes.get(node)
					.recordCrash(new CrashedRuns(instance, UPSTREAM,
							own.stream().map((r) -> r.crashedAt(this.now)).toList()), this.now + delayMs);
			}
		}
		lost.stream()
			.filter((r) -> r.cause() == 0 && r.resends() < MAX_RESENDS)
			.forEach((r) -> at(RESEND_MS, () -> send(r.request(), r.resends() + 1)));
	}

	private void exchange() {
		for (int i = 0; i < NODES; i++) {
			this.nodes.get(1 - i).mergeSuspects(this.nodes.get(i).drainChangedSuspects(this.now), this.now);
		}
		at(EXCHANGE_MS, this::exchange);
	}

	// The cause is 0 for innocent requests. Requests with a cause crash their workers
	// before these have written anything.
	private record Run(RequestIdentity request, int cause, int node, int resends, long writingFrom) {

		CrashedRun crashedAt(long at) {
			return new CrashedRun(this.request, Math.max(0, at - this.writingFrom));
		}

	}

	private record Event(long at, long order, Runnable action) {

	}

}
