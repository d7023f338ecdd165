package io.shallotspur.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests that customers share capacity by weight while it is short, in a queue in virtual
 * time.
 */
class FairSharesTests {

	private static final int CUSTOMERS = 16;

	private static final int HOT = 3;

	// Guards against a customer that sends seven times its usual requests and thereby
	// takes the capacity of the others.
	@Test
	void hotCustomerCostsTheOthersAtMostATenth() {
		double calm = Queue.run(1, true);
		Assertions.assertThat(calm).isGreaterThan(0.99);
		Assertions.assertThat(Queue.run(7, true)).isGreaterThan(0.9 * calm);
		Assertions.assertThat(Queue.run(7, false)).isLessThan(0.8 * calm);
	}

	@Test
	void roomIsSharedByWeight() {
		FairShares shares = new FairShares();
		Map<String, Integer> served = new HashMap<>();
		PriorityQueue<Waiting> queue = new PriorityQueue<>(Queue.BY_TAG);
		for (int i = 0; i < 400; i++) {
			for (String c : List.of("a", "b")) {
				queue.add(new Waiting(c, shares.enqueue(c, c.equals("a") ? 3 : 1, 10), i, i));
			}
		}
		for (int i = 0; i < 200; i++) {
			Waiting w = queue.remove();
			shares.served(w.customer(), w.tag());
			served.merge(w.customer(), 1, Integer::sum);
		}
		Assertions.assertThat(served.get("a")).isBetween(149, 151);
	}

	// Guards against a customer that returns after a pause and gets all the capacity, or
	// that is charged for requests which got none.
	@Test
	void pausesGiveNoCreditAndWithdrawnRequestsCostNothing() {
		FairShares shares = new FairShares();
		for (int i = 0; i < 10; i++) {
			shares.served("busy", shares.enqueue("busy", 1, 10));
		}
		double late = shares.enqueue("late", 1, 10);
		Assertions.assertThat(late).isEqualTo(90);
		shares.withdrawn("late", 1, 10);
		Assertions.assertThat(shares.enqueue("late", 1, 10)).isEqualTo(late);
	}

	@Test
	void idleCustomersAreForgotten() {
		FairShares shares = new FairShares();
		for (int i = 0; i < 10_000; i++) {
			shares.served("c" + i, shares.enqueue("c" + i, 1, 1));
			shares.served("busy", shares.enqueue("busy", 1, 2));
		}
		Assertions.assertThat(shares.size()).isLessThan(200);
	}

	private record Waiting(String customer, double tag, long arrivedAt, long sequence) {

	}

	/**
	 * One queue before a server; requests that have waited too long are withdrawn.
	 */
	private static final class Queue {

		static final Comparator<Waiting> BY_TAG = Comparator.comparingDouble(Waiting::tag)
			.thenComparingLong(Waiting::sequence);

		private static final long PATIENCE_MS = 2_000;

		private static final long SERVICE_MS = 10;

		// Returns the share of the other customers' requests that are served in time.
		static double run(int hotFactor, boolean fair) {
			Random r = new Random(11);
			FairShares shares = new FairShares();
			PriorityQueue<Waiting> queue = new PriorityQueue<>(BY_TAG);
			int asked = 0;
			int served = 0;
			for (long now = 0; now < 60_000; now++) {
				for (int c = 0; c < CUSTOMERS; c++) {
					double perMs = 0.95 / SERVICE_MS / CUSTOMERS * ((c == HOT) ? hotFactor : 1);
					if (r.nextDouble() < perMs) {
						double tag = fair ? shares.enqueue("c" + c, 1, 1) : now;
						queue.add(new Waiting("c" + c, tag, now, now * CUSTOMERS + c));
						asked += (c == HOT) ? 0 : 1;
					}
				}
				withdraw(queue, shares, now);
				if (now % SERVICE_MS == 0 && !queue.isEmpty()) {
					Waiting w = queue.remove();
					shares.served(w.customer(), w.tag());
					served += w.customer().equals("c" + HOT) ? 0 : 1;
				}
			}
			return served / (double) asked;
		}

		private static void withdraw(PriorityQueue<Waiting> queue, FairShares shares, long now) {
			List<Waiting> late = new ArrayList<>(
					queue.stream().filter((w) -> now - w.arrivedAt() > PATIENCE_MS).toList());
			late.forEach((w) -> shares.withdrawn(w.customer(), 1, 1));
			queue.removeAll(late);
		}

	}

}
