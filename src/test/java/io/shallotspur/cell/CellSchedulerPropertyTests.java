package io.shallotspur.cell;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

class CellSchedulerPropertyTests {

	private static final int REQUESTS = 40;

	@Property(tries = 60, seed = "20261202")
	void eachRequestEndsOnceAndReleasesItsResources(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		Random random = new Random(seed);
		CellSimulation sim = CellSimulation.of(CellSettings.defaults(), 1 + random.nextInt(3), 2 + random.nextInt(2),
				2 + random.nextInt(10));
		Set<String> cancelled = new HashSet<>();
		for (int i = 0; i < REQUESTS; i++) {
			String id = "r" + i;
			if (random.nextInt(30) == 0) {
				sim.crashingRequests.add(id);
			}
			String customer = random.nextBoolean() ? "a" : "b";
			sim.submit(sim.request(id, customer, random.nextInt(3), 5200 + random.nextInt(2000)),
					1 + random.nextInt(80));
			if (random.nextInt(5) == 0) {
				String cancelledId = "r" + random.nextInt(i + 1);
				if (!sim.completed.contains(cancelledId) && !sim.refusals.containsKey(cancelledId)) {
					cancelled.add(cancelledId);
					sim.deliver(new CellEvent.CallerGone(cancelledId));
				}
			}
			injectRandomEvent(sim, random);
			sim.runUntil(sim.now + random.nextInt(400));
		}
		sim.stalledWorkers.clear();
		sim.runUntil(sim.now + 40_000);
		assertEachEndedOnce(sim, cancelled);
		assertThat(sim.isIdle()).as("%s %s %s %s", sim.prefilling, sim.kvHeld, sim.transferring, sim.decoding).isTrue();
		assertThat(sim.scheduler.activeRequestCount()).isZero();
	}

	private static void injectRandomEvent(CellSimulation sim, Random random) {
		switch (random.nextInt(16)) {
			case 0 -> restartWorker(sim, "p1");
			case 1 -> restartWorker(sim, "d1");
			case 2 -> sim.stalledWorkers.add("d2");
			case 3 -> sim.stalledWorkers.clear();
			case 4 -> sim.deliver(
					new CellEvent.CacheChange("p1", random.nextInt(100), random.nextInt(3000), random.nextBoolean()));
			case 5 -> deliverStalePrefillDone(sim, random.nextInt(50));
			case 6 -> sim.deliver(new CellEvent.LoadReport("d2", random.nextInt(6), sim.now));
			case 7 -> sim.deliver(new CellEvent.TransferFailed(random.nextInt(50)));
			case 8 -> sim.deliver(new CellEvent.DecodeFailed(random.nextInt(50)));
			default -> {
				// no event
			}
		}
	}

	private static void deliverStalePrefillDone(CellSimulation sim, long attempt) {
		if (!sim.prefilling.containsKey(attempt)) {
			sim.deliver(new CellEvent.PrefillDone(attempt, 100));
		}
	}

	private static void restartWorker(CellSimulation sim, String worker) {
		sim.crash(worker);
		sim.deliver(new CellEvent.WorkerUp(worker.startsWith("p") ? CellSimulation.prefillWorker(worker)
				: CellSimulation.decodeWorker(worker, 6)));
	}

	private static void assertEachEndedOnce(CellSimulation sim, Set<String> cancelled) {
		for (int i = 0; i < REQUESTS; i++) {
			String id = "r" + i;
			int outcomes = (sim.completed.contains(id) ? 1 : 0) + (sim.refusals.containsKey(id) ? 1 : 0)
					+ (cancelled.contains(id) ? 1 : 0);
			assertThat(outcomes).as("terminal outcomes of %s", id).isEqualTo(1);
		}
		List<String> refusals = sim.actions.stream()
			.filter(CellAction.Refuse.class::isInstance)
			.map((a) -> ((CellAction.Refuse) a).requestId())
			.toList();
		assertThat(refusals).doesNotHaveDuplicates();
	}

}
