package io.shallotspur.locate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;

import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;
import io.shallotspur.membership.Member;
import io.shallotspur.membership.MemberStatus;
import io.shallotspur.membership.View;
import io.shallotspur.testing.Workers;

import static org.assertj.core.api.Assertions.assertThat;

class CellMapTests {

	/**
	 * Most prefill workers are in a hall that has no decode worker. A cell without a
	 * decode worker could not serve any request, and all its callers would be refused.
	 */
	@Test
	void eachModelCellHasBothRoles() {
		List<Worker> l = new ArrayList<>(Workers.model("m", 2));
		for (int i = 0; i < 30; i++) {
			l.add(new Worker("m-extra-" + i, "m", "hall-x", WorkerRole.PREFILL, "", 0, 24_000, 800, 0, 0));
		}
		List<CellDefinition> cells = CellPartitioner.partition(l);
		assertThat(cells).isNotEmpty().allSatisfy((c) -> {
			assertThat(c.workers()).anyMatch((w) -> w.role() == WorkerRole.DECODE);
			assertThat(c.workers()).anyMatch((w) -> w.role() == WorkerRole.PREFILL);
			assertThat(c.workers()).hasSizeLessThanOrEqualTo(CellPartitioner.MAX_WORKERS);
		});
	}

	@Test
	void smallUpstreamIsOneCellAndLargeOneIsPartitionedByHall() {
		assertThat(CellPartitioner.partition(Workers.model("small", 16))).hasSize(1);
		List<CellDefinition> cells = CellPartitioner.partition(Workers.model("large", 480));
		assertThat(cells).hasSize(42);
		for (CellDefinition c : cells) {
			assertThat(c.workers()).hasSizeLessThanOrEqualTo(CellPartitioner.MAX_WORKERS)
				.anyMatch((w) -> w.role() == WorkerRole.PREFILL)
				.anyMatch((w) -> w.role() == WorkerRole.DECODE);
			assertThat(c.workers().stream().map(Worker::hall).distinct()).hasSize(1);
		}
	}

	@Test
	void removingAWorkerMovesFewOthers() {
		List<Worker> all = Workers.model("large", 480);
		Map<String, String> before = cellNamesByWorker(CellPartitioner.partition(all));
		List<Worker> rest = new ArrayList<>(all);
		rest.remove(100);
		Map<String, String> after = cellNamesByWorker(CellPartitioner.partition(rest));
		assertThat(after.entrySet().stream().filter((e) -> !e.getValue().equals(before.get(e.getKey()))))
			.hasSizeLessThan(40);
	}

	@Test
	void prefixMapsToOneCellUnlessOverloaded() {
		CellMap m = map(Workers.model("m", 480), Set.of(), view(20));
		String first = m.selectCell("m", "c", 0.2, 42, (c) -> 0).orElseThrow().cell().name();
		assertThat(m.selectCell("m", "c", 0.2, 42, (c) -> 0.5).orElseThrow().cell().name()).isEqualTo(first);
		String other = m.selectCell("m", "c", 0.2, 42, (c) -> c.equals(first) ? 0.9 : 0.3).orElseThrow().cell().name();
		assertThat(other).isNotEqualTo(first);
		assertThat(m.selectCell("none", "c", 0.2, 42, (c) -> 0)).isEmpty();
	}

	/**
	 * Many callers locate at the same time after a VM has crashed. If all of them got the
	 * same first address, they would overload one VM and leave the others idle.
	 */
	@Test
	void firstAddressesAreSpreadOverTheOwnersOfTheCustomersCells() {
		CellMap m = map(Workers.model("m", 480), Set.of(), view(20));
		Random random = new Random(1);
		Map<String, Integer> firsts = new HashMap<>();
		for (int i = 0; i < 3000; i++) {
			firsts.merge(m.locate("m", "c", 0.3, (c) -> 0, random).get(0), 1, Integer::sum);
		}
		assertThat(firsts).hasSizeGreaterThan(5);
		assertThat(firsts.values()).allSatisfy((n) -> assertThat(n).isLessThan(1500));
	}

	@Test
	void leavingVmsAreOmittedAndSuspectsComeLast() {
		View v = view(4);
		List<Member> live = new ArrayList<>(v.live());
		Member gone = live.remove(0);
		live.set(0, live.get(0).withStatus(MemberStatus.SUSPECT));
		CellMap m = map(Workers.model("m", 8), Set.of(), new View(v.self(), live, List.of(gone), 2));
		for (int i = 0; i < 50; i++) {
			List<String> l = m.locate("m", "c" + i, 1, (c) -> 0, new Random(i));
			assertThat(l).hasSize(3).doesNotContain(gone.callerAddress());
			assertThat(l.get(2)).isEqualTo(live.get(0).callerAddress());
		}
	}

	@Test
	void cellWithOnlyDrainingWorkersIsNotSelected() {
		List<Worker> workers = Workers.model("m", 4);
		Set<String> leaving = new HashSet<>();
		workers.forEach((w) -> leaving.add(w.id()));
		assertThat(map(workers, leaving, view(3)).selectCell("m", "c", 1, 0, (c) -> 0)).isEmpty();
	}

	private static CellMap map(List<Worker> workers, Set<String> leaving, View view) {
		return CellMap.of(CellPartitioner.partition(workers), leaving, view);
	}

	private static Map<String, String> cellNamesByWorker(List<CellDefinition> cells) {
		Map<String, String> m = new HashMap<>();
		cells.forEach((c) -> c.workers().forEach((w) -> m.put(w.id(), c.name())));
		return m;
	}

	private static View view(int count) {
		List<Member> l = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			l.add(new Member("vm-" + i, "hall-a", "peer-" + i, "caller-" + i, 1, MemberStatus.ALIVE));
		}
		return new View(l.get(0), l, List.of(), 1);
	}

}
