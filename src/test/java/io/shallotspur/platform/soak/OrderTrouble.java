package io.shallotspur.platform.soak;

import java.io.IOException;
import java.util.List;
import java.util.Random;

import io.shallotspur.platform.FakeStore;

/**
 * Troubles of one kind, one after the other, mostly at the VM that orders the stages.
 * Those of other kinds overlap with them. Runs on a thread of its own.
 *
 * @param kind the kind
 * @param random chooses targets and times
 * @param vms the VMs
 * @param workers the workers
 * @param storeProxies the ways of the VMs to the store
 * @param store the store
 * @param checker hears when a VM goes on after a trouble
 * @param endMs until when a further trouble begins, in milliseconds
 */
record OrderTrouble(Kind kind, Random random, List<VmProcess> vms, List<OrderWorker> workers,
		List<LoopbackProxy> storeProxies, FakeStore store, OrderChecker checker, long endMs) implements Runnable {

	private static final int LEADER_PERCENT = 70;

	// How soon after an order a trouble begins, at the latest: an order without an answer
	// is given again within that time.
	private static final int LONGEST_DELAY_MS = 2_500;

	private static final int AFTER_ORDER_PERCENT = 30;

	// Troubles come in times without orders, too.
	private static final int LONGEST_PAUSE_MS = 60_000;

	private static final int SHORTEST_MS = 200;

	private static final long POLL_MS = 20;

	private static final int FLAPS = 4;

	private static final int FLAP_MS = 700;

	private static final long RESTART_MS = 300;

	@Override
	public void run() {
		try {
			while (InvariantChecker.nowMs() < this.endMs) {
				awaitTurn();
				strike(target());
			}
		}
		catch (IOException | InterruptedException ex) {
			this.checker.addViolation("soak: " + this.kind + " " + ex);
		}
	}

	private void awaitTurn() throws InterruptedException {
		long end = Math.min(this.endMs, InvariantChecker.nowMs() + SHORTEST_MS + this.random.nextInt(LONGEST_PAUSE_MS));
		int before = this.checker.count();
		while (InvariantChecker.nowMs() < end) {
			int now = this.checker.count();
			if (now > before && this.random.nextInt(100) < AFTER_ORDER_PERCENT) {
				Thread.sleep(this.random.nextInt(LONGEST_DELAY_MS));
				return;
			}
			before = now;
			Thread.sleep(POLL_MS);
		}
	}

	private int target() {
		String leader = this.store.value("duties/stages").orElse("");
		int any = this.random.nextInt(this.vms.size());
		if (this.random.nextInt(100) >= LEADER_PERCENT) {
			return any;
		}
		for (int i = 0; i < this.vms.size(); i++) {
			if (leader.contains("/" + this.vms.get(i).callerAddress() + "/")) {
				return i;
			}
		}
		return any;
	}

	private void strike(int vm) throws IOException, InterruptedException {
		int ms = SHORTEST_MS + this.random.nextInt(this.kind.longestMs);
		switch (this.kind) {
			case CUT -> cut(vm, this.workers, ms);
			case CUT_SOME -> cut(vm, this.workers.stream().filter((w) -> this.random.nextBoolean()).toList(), ms);
			case FLAP -> flap(vm);
			case NO_STORE -> {
				this.storeProxies.get(vm).mode(LoopbackProxy.Mode.SILENT);
				Thread.sleep(ms);
				this.storeProxies.get(vm).mode(LoopbackProxy.Mode.PASS);
			}
			case STOP -> stop(vm, ms);
			case END -> end(vm);
		}
	}

	private void cut(int vm, List<OrderWorker> cut, int ms) throws IOException, InterruptedException {
		WorkerProxies.Cut[] ways = WorkerProxies.Cut.values();
		WorkerProxies.Cut how = ways[this.random.nextInt(ways.length)];
		cut.forEach((w) -> w.proxies().cut(vm, how));
		Thread.sleep(ms);
		this.checker.onThawed(vm, InvariantChecker.nowMs());
		for (OrderWorker w : cut) {
			w.proxies().heal(vm);
		}
		this.checker.onThawed(vm, InvariantChecker.nowMs());
	}

	private void flap(int vm) throws IOException, InterruptedException {
		for (int i = 0; i < FLAPS; i++) {
			cut(vm, this.workers, FLAP_MS);
			Thread.sleep(FLAP_MS);
		}
	}

	private void stop(int vm, int ms) throws IOException, InterruptedException {
		VmProcess p = this.vms.get(vm);
		synchronized (p) {
			p.pause();
			Thread.sleep(ms);
			this.checker.onThawed(vm, InvariantChecker.nowMs());
			p.resume();
		}
	}

	private void end(int vm) throws IOException, InterruptedException {
		VmProcess p = this.vms.get(vm);
		synchronized (p) {
			if (this.random.nextBoolean()) {
				p.kill();
			}
			else {
				p.terminate();
			}
			Thread.sleep(RESTART_MS);
			p.start();
		}
	}

	/** The kinds of troubles. */
	enum Kind {

		/** A VM loses its paths to all workers. */
		CUT(9_000),

		/** A VM loses its paths to some workers. */
		CUT_SOME(6_000),

		/** The paths of a VM come and go. */
		FLAP(1),

		/** A VM is cut off from the store. */
		NO_STORE(5_000),

		/** A VM's process is stopped. */
		STOP(5_000),

		/** A VM is killed or told to leave, and started again. */
		END(1);

		private final int longestMs;

		Kind(int longestMs) {
			this.longestMs = longestMs;
		}

	}

}
