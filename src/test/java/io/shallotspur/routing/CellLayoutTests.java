package io.shallotspur.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;

import static org.assertj.core.api.Assertions.assertThat;

class CellLayoutTests {

	static List<Worker> workers(String upstream, String hall, int prefillCount, int decodeCount) {
		List<Worker> workers = new ArrayList<>();
		for (int i = 0; i < prefillCount + decodeCount; i++) {
			WorkerRole role = (i < prefillCount) ? WorkerRole.PREFILL : WorkerRole.DECODE;
			workers
				.add(new Worker(upstream + "-" + hall + "-" + i, upstream, hall, role, "", 20, 24_000, 800, 3000, 0.1));
		}
		return workers;
	}

	private static void assertInvariants(CellLayout layout) {
		for (Cell cell : layout.cells()) {
			assertThat(cell.workers()).hasSizeLessThanOrEqualTo(CellLayout.MAX_WORKERS);
			assertThat(cell.workers()).anyMatch((worker) -> worker.role() == WorkerRole.PREFILL);
			assertThat(cell.workers()).anyMatch((worker) -> worker.role() == WorkerRole.DECODE);
		}
	}

	@Test
	void smallHallsArePooledIntoOneCell() {
		List<Worker> workers = new ArrayList<>(workers("llm", "x", 2, 1));
		workers.addAll(workers("llm", "y", 2, 1));
		workers.addAll(workers("llm", "z", 1, 1));
		CellLayout layout = CellLayout.of(workers);
		assertThat(layout.cells()).singleElement().satisfies((cell) -> assertThat(cell.workers()).hasSize(8));
		assertThat(layout.unassignedWorkers()).isEmpty();
	}

	@Test
	void cellsOfLargeHallsStayWithinOneHall() {
		List<Worker> workers = new ArrayList<>(workers("llm", "x", 300, 400));
		workers.addAll(workers("llm", "y", 200, 200));
		CellLayout layout = CellLayout.of(workers);
		assertInvariants(layout);
		assertThat(layout.unassignedWorkers()).isEmpty();
		layout.cells()
			.forEach((cell) -> assertThat(cell.workers()).extracting(Worker::hall).containsOnly(hallOf(cell)));
	}

	private static String hallOf(Cell cell) {
		return cell.workers().get(0).hall();
	}

	@Test
	void hallWithoutPrefillWorkersJoinsAnotherHall() {
		// When all prefill workers of a hall are under repair, its decode workers would
		// be idle unless they joined the cells of a hall that has prefill workers.
		List<Worker> workers = new ArrayList<>(workers("llm", "x", 6, 4));
		workers.addAll(workers("llm", "y", 0, 5));
		CellLayout layout = CellLayout.of(workers);
		assertInvariants(layout);
		assertThat(layout.unassignedWorkers()).isEmpty();
		assertThat(layout.cellOf("llm-y-0")).isPresent();
	}

	@Test
	void removedWorkerMovesFewOthers() {
		// In a large deployment a worker fails every few minutes. If each failure changed
		// the assignment of all workers, all prefix indexes and reservations would be
		// lost.
		List<Worker> workers = workers("llm", "x", 60, 80);
		Map<String, String> before = cellsByWorker(CellLayout.of(workers));
		int moved = 0;
		for (int i = 0; i < 20; i++) {
			List<Worker> remaining = new ArrayList<>(workers);
			remaining.remove(i * 7);
			Map<String, String> after = cellsByWorker(CellLayout.of(remaining));
			moved += (int) after.entrySet()
				.stream()
				.filter((entry) -> !entry.getValue().equals(before.get(entry.getKey())))
				.count();
		}
		assertThat(moved / 20.0).isLessThan(4);
	}

	private static Map<String, String> cellsByWorker(CellLayout layout) {
		Map<String, String> cells = new HashMap<>();
		layout.cells().forEach((cell) -> cell.workers().forEach((worker) -> cells.put(worker.id(), cell.id())));
		return cells;
	}

	@Test
	void removedNodeMovesOnlyItsOwnCells() {
		List<String> nodes = List.of("n1", "n2", "n3", "n4", "n5");
		List<String> remaining = List.of("n1", "n2", "n4", "n5");
		for (Cell cell : CellLayout.of(workers("llm", "x", 60, 80)).cells()) {
			String owner = CellLayout.owner(cell.id(), nodes).orElseThrow();
			if (!owner.equals("n3")) {
				assertThat(CellLayout.owner(cell.id(), remaining)).contains(owner);
			}
		}
	}

	@Test
	void keysAreDistributedOverAllCells() {
		CellLayout layout = CellLayout.of(workers("llm", "x", 60, 80));
		Map<String, Integer> counts = new HashMap<>();
		for (long key = 0; key < 10_000; key++) {
			counts.merge(layout.locate("llm", key).orElseThrow().id(), 1, Integer::sum);
		}
		assertThat(counts).hasSize(layout.cells().size());
		assertThat(counts.values()).allMatch((count) -> count < 3 * 10_000 / layout.cells().size());
	}

}
