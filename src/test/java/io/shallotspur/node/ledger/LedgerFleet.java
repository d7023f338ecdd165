package io.shallotspur.node.ledger;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.jspecify.annotations.Nullable;
import reactor.test.scheduler.VirtualTimeScheduler;

import io.shallotspur.ledger.Attempt;
import io.shallotspur.ledger.IntentDecision;
import io.shallotspur.ledger.IntentKey;
import io.shallotspur.ledger.LedgerLimits;

/**
 * Some nodes with one store, in virtual time.
 */
final class LedgerFleet {

	static final LedgerSettings SETTINGS = new LedgerSettings(
			LedgerLimits.DEFAULT.withShards(2, 1).withSegments(300, 64, 600_000), 400, 400, 200, 500, 5_000, 10_000,
			100, 150);

	private final VirtualTimeScheduler time = VirtualTimeScheduler.create();

	private final FaultyStore store;

	private final FakePeers peers;

	private final List<Node> nodes = new ArrayList<>();

	private int preferred;

	LedgerFleet(int size, long seed) {
		this.store = new FaultyStore(this.time, seed);
		this.peers = new FakePeers(this.time, seed + 1);
		for (int i = 0; i < size; i++) {
			this.nodes.add(new Node("node-" + i));
		}
	}

	FaultyStore store() {
		return this.store;
	}

	FakePeers peers() {
		return this.peers;
	}

	Node node(int i) {
		return this.nodes.get(i);
	}

	void prefer(int node) {
		this.preferred = node;
	}

	long now() {
		return this.time.now(TimeUnit.MILLISECONDS);
	}

	void advance(long ms) {
		this.time.advanceTimeBy(Duration.ofMillis(ms));
	}

	void later(long ms, Runnable task) {
		this.time.schedule(task, ms, TimeUnit.MILLISECONDS);
	}

	private boolean isAlive(String address, long incarnation) {
		return this.nodes.stream()
			.anyMatch((n) -> n.address.equals(address) && n.incarnation == incarnation && !n.dead);
	}

	/**
	 * A call to the ledger and what became of it.
	 */
	static final class Call {

		private final IntentKey key;

		private final long deadlineAt;

		private @Nullable IntentDecision decision;

		private long toldAt;

		private Call(IntentKey key, long deadlineAt) {
			this.key = key;
			this.deadlineAt = deadlineAt;
		}

		IntentKey key() {
			return this.key;
		}

		long deadlineAt() {
			return this.deadlineAt;
		}

		long toldAt() {
			return this.toldAt;
		}

		boolean isTold() {
			return this.decision != null;
		}

		IntentDecision decision() {
			return Objects.requireNonNull(this.decision, "the call was told nothing");
		}

	}

	/**
	 * One node, which can crash and come back, and pause.
	 */
	final class Node {

		private final String address;

		private long incarnation;

		private boolean dead;

		private NodeScheduler scheduler;

		private LedgerService service;

		Node(String address) {
			this.address = address;
			this.scheduler = new NodeScheduler(LedgerFleet.this.time);
			this.service = start();
		}

		private LedgerService start() {
			return start(SETTINGS);
		}

		private LedgerService start(LedgerSettings settings) {
			return new LedgerService(new Attempt(this.address, this.incarnation, 0), settings, LedgerFleet.this.store,
					LedgerFleet.this.peers.join(this.address), (s) -> "node-" + LedgerFleet.this.preferred,
					LedgerFleet.this::isAlive, this.scheduler, new MetricRegistry());
		}

		LedgerService service() {
			return this.service;
		}

		long incarnation() {
			return this.incarnation;
		}

		boolean isUp() {
			return !this.dead && !this.scheduler.isPaused();
		}

		void crash() {
			this.dead = true;
			this.scheduler.pause();
			LedgerFleet.this.peers.leave(this.address);
		}

		void restart(LedgerLimits limits) {
			restart();
			this.service = start(SETTINGS.withLimits(limits));
		}

		void restart() {
			this.incarnation++;
			this.dead = false;
			this.scheduler = new NodeScheduler(LedgerFleet.this.time);
			this.service = start();
		}

		boolean isDead() {
			return this.dead;
		}

		void pause() {
			this.scheduler.pause();
		}

		void resume() {
			if (!this.dead) {
				this.scheduler.resume();
			}
		}

		Call begin(String key, long body, long budgetMs) {
			Call c = new Call(new IntentKey("c", key), now() + budgetMs);
			this.service.begin(c.key, body, now(), c.deadlineAt).subscribe((d) -> {
				c.decision = d;
				c.toldAt = now();
			});
			return c;
		}

	}

}
