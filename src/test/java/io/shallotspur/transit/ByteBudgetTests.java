package io.shallotspur.transit;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link ByteBudget} and {@link FlowGate}.
 */
class ByteBudgetTests {

	private final List<String> cut = new ArrayList<>();

	// Guards against a VM that breaks off an urgent, a moving or a small response first.
	// Each has a rank, the time of its last progress, and a size.
	@ParameterizedTest
	@CsvSource({ "1, 50, 40, 2, 90, 10, b", "1, 50, 40, 1, 90, 10, a", "1, 50, 40, 1, 50, 45, b" })
	void cutsTheLeastUrgentThenTheSlowestThenTheLargest(int rankA, long atA, long bytesA, int rankB, long atB,
			long bytesB, String victim) {
		ByteBudget b = new ByteBudget(100);
		holding(b, "a", rankA).add(bytesA, atA);
		holding(b, "b", rankB).add(bytesB, atB);
		holding(b, "urgent", 0).add(60, 100);
		Assertions.assertThat(this.cut).containsExactly(victim);
		Assertions.assertThat(b.held()).isLessThanOrEqualTo(100);
	}

	// Guards against a body that is taken in although nothing can be freed for it.
	@Test
	void tellsThatTheLimitIsExceededIfNothingCanBeCut() {
		ByteBudget b = new ByteBudget(100);
		ByteBudget.Holding body = b.openUncuttable();
		Assertions.assertThat(body.add(100, 0)).isTrue();
		Assertions.assertThat(body.add(1, 0)).isFalse();
		body.close();
		Assertions.assertThat(b.held()).isZero();
		Assertions.assertThat(b.holders()).isZero();
	}

	// Guards against bytes that are counted twice, or never released.
	@Test
	void theSumOfAllHoldingsIsHeldAndStaysWithinTheLimit() {
		ByteBudget b = new ByteBudget(10_000);
		Random random = new Random(7);
		List<ByteBudget.Holding> all = new ArrayList<>();
		for (int i = 0; i < 20_000; i++) {
			if (all.size() < 50) {
				all.add(holding(b, "h" + i, random.nextInt(4)));
			}
			ByteBudget.Holding h = all.get(random.nextInt(all.size()));
			switch (random.nextInt(8)) {
				case 0 -> h.close();
				case 1, 2, 3 -> h.release(random.nextInt(400), i);
				default -> h.add(random.nextInt(600), i);
			}
			if (h.bytes() == 0) {
				all.remove(h);
				h.close();
			}
			Assertions.assertThat(b.held()).isBetween(0L, 10_000L);
			Assertions.assertThat(all.stream().mapToLong(ByteBudget.Holding::bytes).sum()).isEqualTo(b.held());
		}
		Assertions.assertThat(this.cut).doesNotHaveDuplicates().isNotEmpty();
		Assertions.assertThat(b.cuts()).isEqualTo(this.cut.size());
	}

	// Guards against a limit above what a machine or the heap has.
	@ParameterizedTest
	@CsvSource({ "0, 96, 24", "258, 96, 24", "88, 96, 11" })
	void theLimitIsAPartOfTheMemory(long machineMb, long heapMb, long limitMb) {
		Assertions.assertThat(ByteBudget.limit(machineMb << 20, heapMb << 20)).isEqualTo(limitMb << 20);
	}

	// Guards against a worker that is stopped and started with every chunk.
	@Test
	void readingStopsAboveTheHighMarkUntilLittleIsHeld() {
		FlowGate g = new FlowGate();
		List<Boolean> stopped = new ArrayList<>();
		for (long held : new long[] { 0, 60_000, 70_000, 40_000, 30_000, 60_000 }) {
			stopped.add(g.update(held));
		}
		Assertions.assertThat(stopped).containsExactly(false, false, true, true, false, false);
	}

	private ByteBudget.Holding holding(ByteBudget b, String name, int rank) {
		ByteBudget.Holding h = b.open(() -> this.cut.add(name));
		h.rank(rank);
		return h;
	}

}
