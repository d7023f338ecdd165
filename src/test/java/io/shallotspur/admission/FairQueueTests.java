package io.shallotspur.admission;

import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FairQueueTests {

	private long sequence;

	private final FairQueue<Entry> queue = new FairQueue<>((c) -> c.equals("a") ? 0.7 : 0.3);

	private Entry add(String customer, int priority, long due) {
		Entry e = new Entry(customer, priority, due, ++this.sequence);
		this.queue.add(e);
		return e;
	}

	private Entry next(double cost) {
		Entry e = this.queue.findNext(10, (x) -> true);
		assertThat(e).isNotNull();
		this.queue.dispatch(e, cost);
		return e;
	}

	@Test
	void customersWithABacklogGetTheirSharesOfEngineTime() {
		Map<String, Double> used = new HashMap<>();
		for (int i = 0; i < 2000; i++) {
			add("a", 1, i);
			add("b", 1, i);
		}
		for (int i = 0; i < 1000; i++) {
			double cost = 100 + (i * 37) % 900;
			Entry e = next(cost);
			used.merge(e.flow(), cost, Double::sum);
		}
		double all = used.get("a") + used.get("b");
		assertThat(used.get("a") / all).isBetween(0.7 * 0.95, 0.7 * 1.05);
		assertThat(used.get("b") / all).isBetween(0.3 * 0.95, 0.3 * 1.05);
	}

	@Test
	void customerThatWasIdleHasNoClaimFromIt() {
		for (int i = 0; i < 50; i++) {
			add("a", 1, i);
		}
		for (int i = 0; i < 20; i++) {
			next(100);
		}
		for (int i = 0; i < 20; i++) {
			add("b", 1, i);
		}
		int ofB = 0;
		for (int i = 0; i < 20; i++) {
			ofB += next(100).flow().equals("b") ? 1 : 0;
		}
		assertThat(ofB).isBetween(5, 7);
	}

	@Test
	void withinACustomerTheOneDueFirstGoesFirst() {
		add("a", 1, 30);
		add("a", 1, 10);
		add("a", 1, 20);
		assertThat(next(1).dueAt()).isEqualTo(10);
		assertThat(next(1).dueAt()).isEqualTo(20);
	}

	@Test
	void urgentGoFirstButLowerOnesAreNotStarved() {
		// An urgent class never stops coming. Requests of a lower class would wait past
		// their deadlines for ever; one start in eight is theirs.
		for (int i = 0; i < 100; i++) {
			add("a", 1, i);
			add("b", 3, i);
		}
		int lower = 0;
		for (int i = 0; i < 80; i++) {
			lower += (next(1).priority() == 3) ? 1 : 0;
		}
		assertThat(lower).isEqualTo(10);
	}

	@Test
	void forgetsCustomersThatOweNothing() {
		for (int i = 0; i < 1000; i++) {
			Entry e = add("c" + i, 1, i);
			this.queue.dispatch(e, 10);
			this.queue.charge("c" + i, -10);
		}
		assertThat(this.queue.flowCount()).isLessThan(5);
	}

	private record Entry(String flow, int priority, long dueAt, long sequence) implements FairQueue.Item {

	}

}
