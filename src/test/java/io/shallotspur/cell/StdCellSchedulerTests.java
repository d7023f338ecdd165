package io.shallotspur.cell;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StdCellSchedulerTests {

	@Test
	void completesEachRequestAndReleasesItsResources() {
		CellSimulation sim = CellSimulation.of(CellSettings.defaults(), 2, 2, 4);
		for (int i = 0; i < 6; i++) {
			sim.submit(sim.request("r" + i, "a", i % 2, 5200), 20);
		}
		sim.runUntil(20_000);
		assertThat(sim.completed).hasSize(6);
		assertThat(sim.refusals).isEmpty();
		assertThat(sim.isIdle()).isTrue();
		assertThat(sim.scheduler.activeRequestCount()).isZero();
	}

	@Test
	void refusesRequestsThatCannotMeetTheirTargets() {
		CellSimulation sim = CellSimulation.of(CellSettings.defaults(), 1, 1, 4);
		for (int i = 0; i < 10; i++) {
			sim.submit(sim.request("r" + i, "a", i, 6000), 20);
		}
		sim.runUntil(20_000);
		assertThat(sim.completed.size() + sim.refusals.size()).isEqualTo(10);
		assertThat(sim.refusals).isNotEmpty();
		sim.firstTokenAt.values().forEach((t) -> assertThat(t).isLessThanOrEqualTo(2000));
		assertThat(sim.isIdle()).isTrue();
	}

}
