package io.shallotspur.node.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.Size;

import io.shallotspur.ledger.IntentDecision;
import io.shallotspur.node.ledger.LedgerFleet.Call;
import io.shallotspur.outcome.Outcome;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Three nodes, their links and the store in virtual time, with resends, crashes, pauses,
 * outages, lost answers, late writes, lost messages and moving shards in random order.
 * Holds that a key is run at most once, that a call told "not run" is not run, that each
 * caller gets the answer of its own key, and that each is told something in time.
 */
class LedgerHistoryPropertyTests {

	private static final int NODES = 3;

	private static final int KEYS = 4;

	@Property(tries = 2_500, seed = "60", shrinking = ShrinkingMode.BOUNDED)
	void holdsInEveryHistory(@ForAll @Size(min = 15, max = 50) List<Integer> steps) {
		new History(steps).run();
	}

	@Tag("long")
	@Property(tries = 100_000, seed = "61", shrinking = ShrinkingMode.BOUNDED)
	void holdsInEveryHistoryLong(@ForAll @Size(min = 15, max = 90) List<Integer> steps) {
		new History(steps).run();
	}

	private static final class History {

		private final List<Integer> steps;

		private final LedgerFleet fleet;

		private final List<Call> calls = new ArrayList<>();

		private final Map<Call, Integer> places = new HashMap<>();

		private final Set<Integer> disturbed = new HashSet<>();

		private final Set<Call> dispatched = new HashSet<>();

		private final Map<String, Integer> runs = new HashMap<>();

		private final Map<String, byte[]> answers = new HashMap<>();

		private History(List<Integer> steps) {
			this.steps = steps;
			this.fleet = new LedgerFleet(NODES, steps.hashCode());
		}

		void run() {
			for (int s : this.steps) {
				int bits = s ^ (s >>> 15);
				step(Math.floorMod(bits, 16), Math.floorMod(bits / 16, NODES), Math.floorMod(bits / 61, KEYS),
						Math.floorMod(bits / 307, 16));
				check();
			}
			heal();
			this.fleet.advance(15_000);
			check();
			checkAllTold();
		}

		private void step(int action, int node, int key, int n) {
			switch (action) {
				case 0, 1, 2, 3, 4 -> begin(node, "key " + key, 200 + n * 250);
				case 5, 6 -> this.fleet.advance(n);
				case 7, 8 -> this.fleet.advance(n * 60);
				case 9 -> crashOrRestart(node);
				case 10 -> pauseOrResume(node);
				case 11 -> this.fleet.store().setFaultPercent(n * 5);
				case 12 -> this.fleet.store().setDown(n < 8);
				case 13 -> this.fleet.store().setHung(n < 6);
				case 14 -> this.fleet.peers().setLossPercent(n * 3);
				default -> this.fleet.prefer(node);
			}
		}

		private void begin(int node, String key, long budgetMs) {
			if (this.fleet.node(node).isUp()) {
				Call c = this.fleet.node(node).begin(key, key.hashCode(), budgetMs);
				this.calls.add(c);
				this.places.put(c, node);
			}
		}

		private void crashOrRestart(int node) {
			this.disturbed.add(node);
			if (this.fleet.node(node).isDead()) {
				this.fleet.node(node).restart();
			}
			else {
				this.fleet.node(node).crash();
			}
		}

		private void pauseOrResume(int node) {
			this.disturbed.add(node);
			if (this.fleet.node(node).isUp()) {
				this.fleet.node(node).pause();
			}
			else {
				this.fleet.node(node).resume();
			}
		}

		private void heal() {
			this.fleet.store().setDown(false);
			this.fleet.store().setHung(false);
			this.fleet.store().setFaultPercent(0);
			this.fleet.peers().setLossPercent(0);
			for (int n = 0; n < NODES; n++) {
				this.fleet.node(n).resume();
			}
		}

		private void check() {
			for (Call c : this.calls) {
				if (c.isTold() && c.decision() instanceof IntentDecision.Run && this.dispatched.add(c)) {
					dispatch(c);
				}
			}
			assertThat(this.runs.values()).as("runs of each key").allMatch((r) -> r <= 1);
			for (Call c : this.calls) {
				if (c.isTold() && c.decision() instanceof IntentDecision.Answered a) {
					assertThat(a.answer()).isEqualTo(this.answers.get(c.key().key()));
				}
			}
		}

		private void dispatch(Call c) {
			String key = c.key().key();
			this.runs.merge(key, 1, Integer::sum);
			int node = this.places.get(c);
			long incarnation = this.fleet.node(node).incarnation();
			int dice = Math.floorMod(key.hashCode() + this.dispatched.size() * 7, 8);
			this.fleet.later(20L + dice * 70L, () -> end(c, node, incarnation, dice));
		}

		private void end(Call c, int node, long incarnation, int dice) {
			String key = c.key().key();
			LedgerFleet.Node n = this.fleet.node(node);
			if (n.isDead() || n.incarnation() != incarnation) {
				return;
			}
			if (dice == 0) {
				n.service().recordUnknown(c.key(), this.fleet.now()).subscribe();
			}
			else if (dice <= 2) {
				this.runs.merge(key, -1, Integer::sum);
				n.service().recordNotRun(c.key(), this.fleet.now()).subscribe();
			}
			else {
				byte[] a = new byte[(dice < 5) ? 10 : 400];
				a[0] = (byte) key.hashCode();
				a[1] = (byte) this.dispatched.size();
				this.answers.put(key, a);
				n.service().recordAnswer(c.key(), a, this.fleet.now()).subscribe();
			}
		}

		private void checkAllTold() {
			for (Call c : this.calls) {
				if (!this.disturbed.contains(this.places.get(c))) {
					assertThat(c.isTold()).as("each call is told something").isTrue();
					assertThat(c.toldAt()).isLessThanOrEqualTo(c.deadlineAt());
				}
				if (c.isTold() && c.decision() instanceof IntentDecision.Refused r
						&& r.refusal().outcome() == Outcome.NOT_RUN) {
					assertThat(this.dispatched).doesNotContain(c);
				}
			}
		}

	}

}
