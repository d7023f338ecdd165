package io.shallotspur.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;

import static org.assertj.core.api.Assertions.assertThat;

class CellPlanTests {

	static List<Worker> workers(String upstream, String hall, int prefill, int decode) {
		List<Worker> l = new ArrayList<>();
		for (int i = 0; i < prefill + decode; i++) {
			WorkerRole role = (i < prefill) ? WorkerRole.PREFILL : WorkerRole.DECODE;
			l.add(new Worker(upstream + "-" + hall + "-" + i, upstream, hall, role, "", 20, 24_000, 800, 3000, 0.1));
		}
		return l;
	}

	private static void assertSound(CellLayout plan) {
		for (Cell c : plan.cells()) {
			assertThat(c.workers()).hasSizeLessThanOrEqualTo(CellLayout.MAX_WORKERS);
			assertThat(c.workers()).anyMatch((w) -> w.role() == WorkerRole.PREFILL);
			assertThat(c.workers()).anyMatch((w) -> w.role() == WorkerRole.DECODE);
		}
	}

	@Test
	void smallHallsFormOneCell() {
		List<Worker> l = new ArrayList<>(workers("llm", "x", 2, 1));
		l.addAll(workers("llm", "y", 2, 1));
		l.addAll(workers("llm", "z", 1, 1));
		CellLayout plan = CellLayout.of(l);
		assertThat(plan.cells()).singleElement().satisfies((c) -> assertThat(c.workers()).hasSize(8));
		assertThat(plan.unassignedWorkers()).isEmpty();
	}

	@Test
	void largeHallsFormCellsOfTheirOwn() {
		List<Worker> l = new ArrayList<>(workers("llm", "x", 300, 400));
		l.addAll(workers("llm", "y", 200, 200));
		CellLayout plan = CellLayout.of(l);
		assertSound(plan);
		assertThat(plan.unassignedWorkers()).isEmpty();
		plan.cells().forEach((c) -> assertThat(c.workers()).extracting(Worker::hall).containsOnly(hallOf(c)));
	}

	private static String hallOf(Cell c) {
		return c.workers().get(0).hall();
	}

	@Test
	void hallWithoutOneRoleBorrows() {
		// All prefill workers of a hall are taken for repair. Its decode workers would
		// idle; they join the hall that has prefill workers.
		List<Worker> l = new ArrayList<>(workers("llm", "x", 6, 4));
		l.addAll(workers("llm", "y", 0, 5));
		CellLayout plan = CellLayout.of(l);
		assertSound(plan);
		assertThat(plan.unassignedWorkers()).isEmpty();
		assertThat(plan.cellOf("llm-y-0")).isPresent();
	}

	@Test
	void workerThatComesOrGoesMovesFewOthers() {
		// At the size to come a worker fails every few minutes. If each failure shuffled
		// the cells, all prefix knowledge and all reservations would be lost each time.
		List<Worker> l = workers("llm", "x", 60, 80);
		Map<String, String> before = cells(CellLayout.of(l));
		int moved = 0;
		for (int i = 0; i < 20; i++) {
			List<Worker> less = new ArrayList<>(l);
			less.remove(i * 7);
			Map<String, String> after = cells(CellLayout.of(less));
			moved += (int) after.entrySet()
				.stream()
				.filter((e) -> !e.getValue().equals(before.get(e.getKey())))
				.count();
		}
		assertThat(moved / 20.0).isLessThan(4);
	}

	private static Map<String, String> cells(CellLayout plan) {
		Map<String, String> m = new HashMap<>();
		plan.cells().forEach((c) -> c.workers().forEach((w) -> m.put(w.id(), c.id())));
		return m;
	}

	@Test
	void nodeThatGoesMovesOnlyItsOwnCells() {
		List<String> nodes = List.of("n1", "n2", "n3", "n4", "n5");
		List<String> left = List.of("n1", "n2", "n4", "n5");
		for (Cell c : CellLayout.of(workers("llm", "x", 60, 80)).cells()) {
			String owner = CellLayout.owner(c.id(), nodes).orElseThrow();
			if (!owner.equals("n3")) {
				assertThat(CellLayout.owner(c.id(), left)).contains(owner);
			}
		}
	}

	@Test
	void keysAreSpreadOverTheCells() {
		CellLayout plan = CellLayout.of(workers("llm", "x", 60, 80));
		Map<String, Integer> counts = new HashMap<>();
		for (long k = 0; k < 10_000; k++) {
			counts.merge(plan.locate("llm", k).orElseThrow().id(), 1, Integer::sum);
		}
		assertThat(counts).hasSize(plan.cells().size());
		assertThat(counts.values()).allMatch((n) -> n < 3 * 10_000 / plan.cells().size());
	}

}
