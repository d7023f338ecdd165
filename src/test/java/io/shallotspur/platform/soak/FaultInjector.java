package io.shallotspur.platform.soak;

import java.io.IOException;
import java.util.List;

import io.shallotspur.platform.FakeStore;

/**
 * Makes faults happen, from outside the processes. One VM is struck by one fault of
 * processes at a time; the others overlap. Thread-safe: each fault has a thread.
 */
final class FaultInjector {

	private static final long RESTART_MS = 300;

	private static final double MOST_LIMIT_PER_S = 4;

	private static final double MOST_LIMITED_MS = 16_000;

	private static final long AWAY_MS = 200;

	private static final long WRITTEN_AGAIN_MS = 1_500;

	private final List<VmProcess> vms;

	private final List<SoakWorker> workers;

	private final List<LoopbackProxy> storeProxies;

	private final FakeStore store;

	private final Evidence evidence;

	private final Runnable publish;

	private final Runnable writeAgain;

	FaultInjector(List<VmProcess> vms, List<SoakWorker> workers, List<LoopbackProxy> storeProxies, FakeStore store,
			Evidence evidence, Runnable publish, Runnable writeAgain) {
		this.vms = vms;
		this.workers = workers;
		this.storeProxies = storeProxies;
		this.store = store;
		this.evidence = evidence;
		this.publish = publish;
		this.writeAgain = writeAgain;
	}

	void strike(Fault f) throws IOException, InterruptedException {
		if (!f.kind().disturbsVms()) {
			make(f);
			return;
		}
		this.evidence.disturbanceBegins();
		List<VmProcess> struck = struck(f);
		struck.forEach((vm) -> this.evidence.struck(vm.callers(), Evidence.nowMs()));
		try {
			make(f);
		}
		finally {
			this.evidence.disturbanceEnds(Evidence.nowMs());
			struck.forEach((vm) -> this.evidence.struck(vm.callers(), Evidence.nowMs()));
		}
	}

	private List<VmProcess> struck(Fault f) {
		return switch (f.kind()) {
			case ALL_KILL -> this.vms;
			case VM_KILL, VM_TERM, VM_PAUSE, STORE_RESET, STORE_SILENT -> List.of(this.vms.get(f.target()));
			default -> List.of();
		};
	}

	private void make(Fault f) throws IOException, InterruptedException {
		switch (f.kind()) {
			case VM_KILL, VM_TERM, VM_PAUSE -> process(f, this.vms.get(f.target()));
			case ALL_KILL -> killAll(0);
			case WORKER_CRASH -> this.workers.get(f.target()).crash();
			case WORKER_DRAIN -> this.workers.get(f.target()).drain();
			case WORKER_RESET -> this.workers.get(f.target()).proxy().reset();
			case WORKER_ONE_WAY -> during(f, this.workers.get(f.target()).proxy(), LoopbackProxy.Mode.ONE_WAY);
			case WORKER_SILENT -> during(f, this.workers.get(f.target()).proxy(), LoopbackProxy.Mode.SILENT);
			case WORKER_DELAY -> during(f, this.workers.get(f.target()).proxy(), LoopbackProxy.Mode.DELAY);
			case STORE_RESET -> this.storeProxies.get(f.target()).reset();
			case STORE_SILENT -> during(f, this.storeProxies.get(f.target()), LoopbackProxy.Mode.SILENT);
			case STORE_AWAY -> storeAway(f);
			case STORE_FORGETS -> this.store.dropHistory();
			case CONFIGURATION -> this.publish.run();
			case STORE_RESTORED -> storeRestored(f);
			case WORKER_LIMITED -> limited(f);
		}
	}

	private void process(Fault f, VmProcess vm) throws IOException, InterruptedException {
		synchronized (vm) {
			switch (f.kind()) {
				case VM_PAUSE -> {
					vm.pause();
					Thread.sleep(f.forMs());
					vm.resume();
				}
				case VM_TERM -> {
					int code = vm.leave();
					if (code != 0) {
						this.evidence.broken("LEAVE vm=" + vm.callers() + " code=" + code);
					}
					again(vm);
				}
				default -> {
					vm.kill();
					again(vm);
				}
			}
		}
	}

	// No VM may be struck by another fault between its end and its start, so all are held
	// until all have been started; in their order, so that two such faults cannot wait
	// for each other.
	private void killAll(int from) throws IOException, InterruptedException {
		if (from == this.vms.size()) {
			Thread.sleep(RESTART_MS);
			for (VmProcess vm : this.vms) {
				vm.start();
			}
			return;
		}
		VmProcess vm = this.vms.get(from);
		synchronized (vm) {
			vm.kill();
			killAll(from + 1);
		}
	}

	private static void again(VmProcess vm) throws IOException, InterruptedException {
		Thread.sleep(RESTART_MS);
		vm.start();
	}

	private void limited(Fault f) throws InterruptedException {
		SoakWorker w = this.workers.get(f.target());
		w.limit(MOST_LIMIT_PER_S * f.forMs() / MOST_LIMITED_MS);
		Thread.sleep(f.forMs());
		w.limit(Double.POSITIVE_INFINITY);
	}

	private void storeAway(Fault f) throws InterruptedException {
		this.store.setUnavailable(true);
		Thread.sleep(f.forMs());
		this.store.setUnavailable(false);
	}

	private void storeRestored(Fault f) throws InterruptedException {
		this.store.takeSnapshot();
		Thread.sleep(f.forMs());
		this.store.setUnavailable(true);
		Thread.sleep(AWAY_MS);
		this.store.restoreSnapshot();
		this.store.setUnavailable(false);
		Thread.sleep(WRITTEN_AGAIN_MS);
		this.writeAgain.run();
	}

	private static void during(Fault f, LoopbackProxy p, LoopbackProxy.Mode mode) throws InterruptedException {
		p.mode(mode);
		Thread.sleep(f.forMs());
		p.mode(LoopbackProxy.Mode.PASS);
	}

}
