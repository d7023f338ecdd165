package io.shallotspur.queueing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import io.shallotspur.queueing.WaitForecast.Unservable;

/**
 * Tests of the order of waiting requests under a load of several priorities.
 */
class WaitingOrderTests {

	private static final long NOW = 10_000;

	private final PriorityDemand demand = new PriorityDemand();

	private final YieldPolicy policy = new YieldPolicy(this.demand);

	private static Waiting timely(int priority, long sequence) {
		return new Waiting(priority, false, NOW + 1_000 + sequence, NOW, sequence);
	}

	private static Waiting late(int priority, long sequence) {
		return new Waiting(priority, true, NOW - 500, NOW - 1_000, sequence);
	}

	private static Contention<Waiting> contention(Waiting... waiting) {
		return new Contention<>(List.of(waiting), List.of());
	}

	// An urgent request with a tight objective is late at once and gets no slot as long
	// as less urgent ones can be on time.
	@Test
	void servesLateRequestBeforeTimelyOneOfLowerPriority() {
		Assertions.assertThat(ServiceOrder.of(List.of(timely(2, 1), late(0, 2), timely(0, 3)), NOW))
			.extracting(Waiting::sequence)
			.containsExactly(3L, 2L, 1L);
		Assertions.assertThat(contention(late(0, 1), timely(2, 2)).holdsBack(late(0, 1))).isEmpty();
	}

	// A steady load of urgent requests takes every slot, and the others never start.
	@Test
	void oneStartInEightGoesToLowerPriority() {
		LowerPriorityTurns turns = new LowerPriorityTurns();
		List<Waiting> ordered = ServiceOrder.of(List.of(timely(0, 1), timely(1, 9), timely(2, 2)), NOW);
		int lower = 0;
		for (int i = 0; i < 80; i++) {
			lower += turns.isDue() ? ServiceOrder.firstOfLowerPriority(ordered).orElseThrow().priority() : 0;
			turns.recordStart();
		}
		Assertions.assertThat(lower).isEqualTo(10 * 2);
	}

	// A deployment whose requests all have one priority would be served in another order
	// than before.
	@Test
	void orderAndDelaysOfOnePriorityAreUnchanged() {
		Random random = new Random(7);
		for (int run = 0; run < 200; run++) {
			List<Waiting> waiting = IntStream.range(0, 12)
				.mapToObj((i) -> new Waiting(3, random.nextInt(3) == 0, NOW + random.nextInt(2_000) - 500,
						NOW - random.nextInt(1_500), i))
				.toList();
			Assertions.assertThat(ServiceOrder.of(waiting, NOW)).isEqualTo(formerOrder(waiting));
			Assertions.assertThat(ServiceOrder.firstOfLowerPriority(waiting)).isEmpty();
		}
		this.demand.recordArrival(3, NOW);
		for (int vms : new int[] { 1, 2, 7, 95 }) {
			Contention<Waiting> contention = contention(timely(3, 1), late(3, 2));
			Assertions.assertThat(this.policy.delayMs(timely(3, 1), contention, vms, NOW)).isEmpty();
			Assertions.assertThat(this.policy.delayMs(late(3, 2), contention, vms, NOW)).hasValue(300 - 300 / vms);
			Assertions.assertThat(contention.holdsBack(late(3, 2))).contains(timely(3, 1));
		}
	}

	private static List<Waiting> formerOrder(List<Waiting> waiting) {
		List<Waiting> ordered = new ArrayList<>();
		for (boolean late : new boolean[] { false, true }) {
			List<Waiting> group = new ArrayList<>(waiting.stream()
				.filter((r) -> r.isLate() == late)
				.sorted(Comparator.comparingLong(Waiting::latestStart).thenComparingLong(Waiting::sequence))
				.toList());
			Waiting first = group.isEmpty() ? timely(0, 0) : group.get(0);
			if (late || NOW - first.enqueuedAt() > 0.5 * (first.latestStart() - first.enqueuedAt())) {
				Collections.reverse(group);
			}
			ordered.addAll(group);
		}
		return ordered;
	}

	// A slot that becomes free goes to a less urgent request of this VM although an
	// urgent one waits at another; left free for all of them, it would stay unused.
	@Test
	void lowerPriorityYieldsInProportionToHigherDemand() {
		for (int i = 0; i < 20; i++) {
			this.demand.recordArrival((i < 2) ? 0 : 2, NOW);
		}
		Contention<Waiting> contention = contention(timely(2, 1));
		Assertions.assertThat(this.policy.delayMs(timely(2, 1), contention, 1, NOW)).hasValue(0);
		Assertions.assertThat(this.policy.delayMs(timely(2, 1), contention, 2, NOW).getAsLong()).isBetween(14L, 16L);
		Assertions.assertThat(this.policy.delayMs(timely(2, 1), contention, 95, NOW).getAsLong()).isBetween(29L, 30L);
		Assertions.assertThat(this.policy.delayMs(timely(0, 2), contention(timely(0, 2)), 95, NOW)).isEmpty();
		Contention<Waiting> urgent = contention(timely(0, 2), timely(2, 1));
		Assertions.assertThat(this.policy.delayMs(timely(2, 1), urgent, 2, NOW)).hasValue(75);
	}

	// The urgent requests have ended, and the others go on leaving slots unused.
	@Test
	void demandOfPriorityThatNoLongerArrivesIsForgotten() {
		this.demand.recordArrival(0, NOW);
		this.demand.recordArrival(2, NOW);
		Assertions.assertThat(this.demand.shareAbove(2, NOW)).isEqualTo(0.5);
		for (int s = 1; s <= 60; s++) {
			this.demand.recordArrival(2, NOW + s * 1_000);
		}
		Assertions.assertThat(this.demand.shareAbove(2, NOW + 60_000)).isZero();
		Assertions.assertThat(this.demand.hasSeveralPriorities(NOW + 60_000)).isFalse();
	}

	// A burst lasts longer than callers wait. Those at the end of the queue would wait in
	// vain and return when it is too late for their answer.
	@Test
	void givesUpRequestsThatQueueWillNotReachInTime() {
		List<Waiting> ordered = IntStream.range(0, 40).mapToObj((i) -> timely(2, i)).toList();
		List<Unservable<Waiting>> unservable = WaitForecast.unservable(ordered, 10, NOW);
		Assertions.assertThat(unservable).hasSizeBetween(5, 12);
		Assertions.assertThat(unservable.get(0).request().sequence()).isEqualTo(40L - unservable.size());
		Assertions.assertThat(unservable.get(0).expectedWaitMs()).isGreaterThan(2_000);
		Assertions.assertThat(WaitForecast.unservable(ordered.subList(0, 4), 0, NOW)).isEmpty();
		Assertions.assertThat(WaitForecast.unservable(ordered, 40, NOW)).isEmpty();
	}

	// Nothing waits for most of the time, and the starts of that time make the queue look
	// faster, or slower, than it is in a burst.
	@Test
	void startRateCountsOnlyTimeInWhichRequestsWait() {
		StartRate rate = new StartRate();
		rate.setWaiting(false, NOW);
		rate.setWaiting(true, NOW + 60_000);
		Assertions.assertThat(rate.perSecond(NOW + 60_100)).isEmpty();
		for (int ms = 100; ms <= 4_000; ms += 100) {
			rate.recordStart(NOW + 60_000 + ms);
		}
		rate.setWaiting(false, NOW + 64_000);
		Assertions.assertThat(rate.perSecond(NOW + 90_000).getAsDouble()).isBetween(9.0, 11.0);
	}

	private record Waiting(int priority, boolean isLate, long latestStart, long enqueuedAt,
			long sequence) implements WaitingRequest {

		@Override
		public long waitDeadline() {
			return this.latestStart + 1_000;
		}

	}

}
