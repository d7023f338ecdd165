package io.shallotspur.cell;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StdCellSchedulerTests {

	@Test
	void runsEachRequestOnceAndHoldsNothingAfterwards() {
		CellDriver d = CellDriver.of(CellSettings.defaults(), 2, 2, 4);
		for (int i = 0; i < 6; i++) {
			d.submit(d.request("r" + i, "a", i % 2, 5200), 20);
		}
		d.runTo(20_000);
		assertThat(d.completed).hasSize(6);
		assertThat(d.refused).isEmpty();
		assertThat(d.idle()).isTrue();
		assertThat(d.scheduler.activeRequestCount()).isZero();
	}

	@Test
	void refusesWhatCannotMeetItsTargetsWithoutRunningIt() {
		CellDriver d = CellDriver.of(CellSettings.defaults(), 1, 1, 4);
		for (int i = 0; i < 10; i++) {
			d.submit(d.request("r" + i, "a", i, 6000), 20);
		}
		d.runTo(20_000);
		assertThat(d.completed.size() + d.refused.size()).isEqualTo(10);
		assertThat(d.refused).isNotEmpty();
		d.firstTokenAt.values().forEach((t) -> assertThat(t).isLessThanOrEqualTo(2000));
		assertThat(d.idle()).isTrue();
	}

}
