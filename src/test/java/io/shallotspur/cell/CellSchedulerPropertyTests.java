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
	void eachRequestEndsOnceAndLeavesNothingBehind(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		Random random = new Random(seed);
		CellDriver d = CellDriver.of(CellSettings.defaults(), 1 + random.nextInt(3), 2 + random.nextInt(2),
				2 + random.nextInt(10));
		Set<String> gone = new HashSet<>();
		for (int i = 0; i < REQUESTS; i++) {
			String id = "r" + i;
			if (random.nextInt(30) == 0) {
				d.poison.add(id);
			}
			String customer = random.nextBoolean() ? "a" : "b";
			d.submit(d.request(id, customer, random.nextInt(3), 5200 + random.nextInt(2000)), 1 + random.nextInt(80));
			if (random.nextInt(5) == 0) {
				String left = "r" + random.nextInt(i + 1);
				if (!d.completed.contains(left) && !d.refused.containsKey(left)) {
					gone.add(left);
					d.event(new CellEvent.CallerGone(left));
				}
			}
			disturb(d, random);
			d.runTo(d.now + random.nextInt(400));
		}
		d.stalledWorkers.clear();
		d.runTo(d.now + 40_000);
		assertEachEndedOnce(d, gone);
		assertThat(d.idle()).as("%s %s %s %s", d.prefilling, d.kv, d.transferring, d.decoding).isTrue();
		assertThat(d.scheduler.activeRequestCount()).isZero();
	}

	private static void disturb(CellDriver d, Random random) {
		switch (random.nextInt(16)) {
			case 0 -> restart(d, "p1");
			case 1 -> restart(d, "d1");
			case 2 -> d.stalledWorkers.add("d2");
			case 3 -> d.stalledWorkers.clear();
			case 4 -> d.event(
					new CellEvent.CacheChange("p1", random.nextInt(100), random.nextInt(3000), random.nextBoolean()));
			case 5 -> lateFinish(d, random.nextInt(50));
			case 6 -> d.event(new CellEvent.LoadReport("d2", random.nextInt(6), d.now));
			case 7 -> d.event(new CellEvent.TransferFailed(random.nextInt(50)));
			case 8 -> d.event(new CellEvent.DecodeFailed(random.nextInt(50)));
			default -> {
				// nothing happens
			}
		}
	}

	private static void lateFinish(CellDriver d, long attempt) {
		if (!d.prefilling.containsKey(attempt)) {
			d.event(new CellEvent.PrefillDone(attempt, 100));
		}
	}

	private static void restart(CellDriver d, String worker) {
		d.crash(worker);
		d.event(new CellEvent.WorkerUp(
				worker.startsWith("p") ? CellDriver.prefillWorker(worker) : CellDriver.decodeWorker(worker, 6)));
	}

	private static void assertEachEndedOnce(CellDriver d, Set<String> gone) {
		for (int i = 0; i < REQUESTS; i++) {
			String id = "r" + i;
			int ends = (d.completed.contains(id) ? 1 : 0) + (d.refused.containsKey(id) ? 1 : 0)
					+ (gone.contains(id) ? 1 : 0);
			assertThat(ends).as("ends of %s", id).isEqualTo(1);
		}
		List<String> refusals = d.actions.stream()
			.filter(CellAction.Refuse.class::isInstance)
			.map((a) -> ((CellAction.Refuse) a).requestId())
			.toList();
		assertThat(refusals).doesNotHaveDuplicates();
	}

}
