package io.shallotspur.admission;

import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FairQueueTests {

	private long sequence;

	private final FairQueue<Entry> queue = new FairQueue<>((customer) -> customer.equals("a") ? 0.7 : 0.3);

	private Entry add(String customer, int priority, long dueAt) {
		Entry entry = new Entry(customer, priority, dueAt, ++this.sequence);
		this.queue.add(entry);
		return entry;
	}

	private Entry dispatchNext(double cost) {
		Entry entry = this.queue.findNext(10, (candidate) -> true);
		assertThat(entry).isNotNull();
		this.queue.dispatch(entry, cost);
		return entry;
	}

	@Test
	void backloggedCustomersGetTheirSharesOfEngineTime() {
		Map<String, Double> usedMs = new HashMap<>();
		for (int i = 0; i < 2000; i++) {
			add("a", 1, i);
			add("b", 1, i);
		}
		for (int i = 0; i < 1000; i++) {
			double cost = 100 + (i * 37) % 900;
			Entry entry = dispatchNext(cost);
			usedMs.merge(entry.flow(), cost, Double::sum);
		}
		double total = usedMs.get("a") + usedMs.get("b");
		assertThat(usedMs.get("a") / total).isBetween(0.7 * 0.95, 0.7 * 1.05);
		assertThat(usedMs.get("b") / total).isBetween(0.3 * 0.95, 0.3 * 1.05);
	}

	@Test
	void idleCustomerAccumulatesNoCredit() {
		for (int i = 0; i < 50; i++) {
			add("a", 1, i);
		}
		for (int i = 0; i < 20; i++) {
			dispatchNext(100);
		}
		for (int i = 0; i < 20; i++) {
			add("b", 1, i);
		}
		int dispatchedOfB = 0;
		for (int i = 0; i < 20; i++) {
			dispatchedOfB += dispatchNext(100).flow().equals("b") ? 1 : 0;
		}
		assertThat(dispatchedOfB).isBetween(5, 7);
	}

	@Test
	void itemsOfACustomerAreDispatchedInOrderOfDueTime() {
		add("a", 1, 30);
		add("a", 1, 10);
		add("a", 1, 20);
		assertThat(dispatchNext(1).dueAt()).isEqualTo(10);
		assertThat(dispatchNext(1).dueAt()).isEqualTo(20);
	}

	@Test
	void higherLevelDoesNotStarveLowerLevel() {
		// With a permanent backlog at a higher level, requests of a lower level would
		// always miss their deadlines. One dispatch in eight is reserved for them.
		for (int i = 0; i < 100; i++) {
			add("a", 1, i);
			add("b", 3, i);
		}
		int lowerDispatched = 0;
		for (int i = 0; i < 80; i++) {
			lowerDispatched += (dispatchNext(1).priority() == 3) ? 1 : 0;
		}
		assertThat(lowerDispatched).isEqualTo(10);
	}

	@Test
	void removesIdleCustomersWithoutOutstandingCharges() {
		for (int i = 0; i < 1000; i++) {
			Entry entry = add("c" + i, 1, i);
			this.queue.dispatch(entry, 10);
			this.queue.charge("c" + i, -10);
		}
		assertThat(this.queue.flowCount()).isLessThan(5);
	}

	private record Entry(String flow, int priority, long dueAt, long sequence) implements FairQueue.Item {

	}

}
