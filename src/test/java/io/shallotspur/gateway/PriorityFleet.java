package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.shallotspur.gateway.GatewayFixture.Call;
import io.shallotspur.route.EngineSpec;
import io.shallotspur.route.IngressLimits;
import io.shallotspur.route.Route;
import io.shallotspur.route.RouteKind;
import io.shallotspur.route.RouteTable;
import io.shallotspur.route.RouteTarget;
import io.shallotspur.route.UpstreamSpec;

/**
 * VMs in virtual time in front of decode workers with a fixed number of slots each.
 * Callers with requests of two priorities choose their VM at random.
 */
final class PriorityFleet {

	static final long URGENT_TARGET_MS = 400;

	static final long OTHER_TARGET_MS = 1_000;

	static final long MAX_GAP_MS = 300;

	private static final int SLOTS = 4;

	private static final long RESPONSE_MS = 600;

	private static final int STEP_MS = 5;

	// Requests that arrived later may still be waiting at the end.
	private static final long SETTLING_MS = 3_000;

	private final List<GatewayFixture> vms = new ArrayList<>();

	private final Map<String, Integer> used = new HashMap<>();

	private final List<Running> running = new ArrayList<>();

	private final List<CallerRequest> calls = new ArrayList<>();

	// When each answered request was sent to a worker, by VM and request id.
	private final Map<String, Long> startedAt = new HashMap<>();

	private final int[] collectedReservations;

	private final int[] collectedRuns;

	private final Random random;

	private long now;

	PriorityFleet(int vms, int workers, long seed) {
		this.random = new Random(seed);
		this.collectedReservations = new int[vms];
		this.collectedRuns = new int[vms];
		// All serve callers, as all are overloaded.
		List<EntryVm> entries = new ArrayList<>();
		for (int i = 0; i < vms; i++) {
			entries.add(new EntryVm("vms/" + i, "10.1.0." + i + ":80", "r", "hall-a", 1, true));
		}
		for (EntryVm entry : entries) {
			GatewayFixture f = new GatewayFixture(0, this.random::nextDouble);
			f.gateway.configure(table());
			f.gateway.entryVms().registerSelf(entry);
			entries.forEach(f.gateway.entryVms()::register);
			for (int w = 0; w < workers; w++) {
				f.addWorker("d" + w, "llm", WorkerStage.DECODE);
			}
			this.vms.add(f);
		}
	}

	static RouteTable table() {
		EngineSpec engine = new EngineSpec(64, 40_000, 18_432, 170_000, 500, 2_000, 10);
		return new RouteTable(1, List.of(route("urgent", 0, URGENT_TARGET_MS), route("other", 2, OTHER_TARGET_MS)),
				List.of(new UpstreamSpec("llm", 100, engine)), IngressLimits.DEFAULT, List.of());
	}

	private static Route route(String name, int priority, long targetMs) {
		return new Route(name, "shop.example", "/" + name + "/", RouteKind.STREAM, List.of(new RouteTarget("llm", 1)),
				14_000, targetMs, MAX_GAP_MS, priority, 1, false, true, false);
	}

	void run(long ms, double urgentPerSecond, double otherPerSecond) {
		long end = this.now + ms;
		while (this.now < end) {
			arrive("urgent", urgentPerSecond);
			arrive("other", otherPerSecond);
			this.now += STEP_MS;
			endDueResponses();
			for (int i = 0; i < this.vms.size(); i++) {
				this.vms.get(i).timer.advance(STEP_MS);
				answerReservations(i);
			}
		}
	}

	private void arrive(String route, double perSecond) {
		if (this.random.nextDouble() < perSecond * STEP_MS / 1_000) {
			int vm = this.random.nextInt(this.vms.size());
			Call call = this.vms.get(vm).callWithPrompt(route, 3_000);
			this.calls.add(new CallerRequest(this.now, route, vm + call.id()));
			answerReservations(vm);
		}
	}

	private void answerReservations(int vm) {
		List<FakeWorkers.Reservation> reservations = this.vms.get(vm).workers.reservations;
		while (this.collectedReservations[vm] < reservations.size()) {
			FakeWorkers.Reservation r = reservations.get(this.collectedReservations[vm]++);
			if (this.used.getOrDefault(r.worker().id(), 0) < SLOTS) {
				this.used.merge(r.worker().id(), 1, Integer::sum);
				r.listener().onReserved("h" + this.collectedReservations[vm]);
			}
			else {
				r.listener().onNoCapacity();
			}
			collectRuns(vm);
		}
	}

	private void collectRuns(int vm) {
		List<FakeWorkers.Run> runs = this.vms.get(vm).workers.runs;
		while (this.collectedRuns[vm] < runs.size()) {
			FakeWorkers.Run run = runs.get(this.collectedRuns[vm]++);
			this.startedAt.put(vm + run.call.request().id(), this.now);
			run.respondHead(200);
			run.sendEvents(GatewayFixture.EVENTS);
			long ms = (long) (RESPONSE_MS * (0.5 + this.random.nextDouble()));
			this.running.add(new Running(this.now + ms, vm, run));
		}
	}

	private void endDueResponses() {
		List<Running> due = this.running.stream().filter((r) -> r.endsAt() <= this.now).toList();
		this.running.removeAll(due);
		for (Running r : due) {
			this.used.merge(r.run().call.worker().id(), -1, Integer::sum);
			r.run().listener.onEnd();
			answerReservations(r.vm());
		}
	}

	/**
	 * Returns the share of requests that were answered.
	 * @param route the route of the requests
	 * @return from 0 to 1; the requests of the last seconds are left out
	 */
	double servedShare(String route) {
		return share(route, Long.MAX_VALUE - 1);
	}

	/**
	 * Returns the share of requests that were answered on time.
	 * @param route the route of the requests
	 * @param targetMs the latency objective, in milliseconds
	 * @return from 0 to 1; the requests of the last seconds are left out
	 */
	double timelyShare(String route, long targetMs) {
		return share(route, targetMs);
	}

	private double share(String route, long targetMs) {
		List<CallerRequest> l = this.calls.stream()
			.filter((c) -> c.route().equals(route) && c.at() < this.now - SETTLING_MS)
			.toList();
		return (double) l.stream().filter((c) -> waitMs(c) <= targetMs).count() / l.size();
	}

	private long waitMs(CallerRequest c) {
		Long at = this.startedAt.get(c.id());
		return (at != null) ? at - c.at() : Long.MAX_VALUE;
	}

	private record CallerRequest(long at, String route, String id) {

	}

	private record Running(long endsAt, int vm, FakeWorkers.Run run) {

	}

}
