package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;

/**
 * Entry VMs and plain workers in virtual time, with a network in which the path of each
 * VM to each worker can be cut: connections are refused and reset, or hang. Not
 * thread-safe.
 * <p>
 * A request runs at a worker for {@link #RUN_MS}. One whose path is cut meanwhile runs
 * on, and its response is lost.
 */
final class SimulatedPaths {

	static final long RUN_MS = 40;

	private static final long HOP_MS = 1;

	private static final long CONNECT_TIMEOUT_MS = 300;

	final ManualTimer timer = new ManualTimer();

	final Random random;

	final List<Vm> vms = new ArrayList<>();

	final List<WorkerInfo> workers = new ArrayList<>();

	// Runs by the id of the request.
	final Map<String, Integer> runs = new HashMap<>();

	// Callers by the id of the request.
	final Map<String, FakeCaller> callers = new HashMap<>();

	// Cut paths, as VM and worker.
	private final Map<Path, Cut> cuts = new HashMap<>();

	private int nextRequest;

	SimulatedPaths(int vmCount, int workerCount, long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < workerCount; i++) {
			this.workers.add(new WorkerInfo("w" + i, "plain", "10.1.0." + i, 80, "hall-" + i % 3, 50, WorkerStage.PLAIN,
					false, 0, 1, "v1"));
		}
		for (int i = 0; i < vmCount; i++) {
			this.vms.add(new Vm(i));
		}
		for (Vm vm : this.vms) {
			this.vms.forEach((other) -> vm.gateway.entryVms().register(other.entry));
			this.workers.forEach((w) -> vm.gateway.roster().updateEntry(w, this.timer.now()));
			vm.gateway.configure(GatewayFixture.table(1));
			vm.gateway.startSampling();
		}
	}

	void cut(Vm vm, WorkerInfo worker, Cut how) {
		this.cuts.put(new Path(vm.entry.key(), worker.id()), how);
		if (how == Cut.REFUSED) {
			List.copyOf(vm.open).stream().filter((c) -> c.worker.id().equals(worker.id())).forEach(Connection::reset);
		}
	}

	void heal(Vm vm) {
		this.cuts.keySet().removeIf((p) -> p.vm().equals(vm.entry.key()));
	}

	boolean reaches(Vm vm, WorkerInfo worker) {
		return !vm.ended && !this.cuts.containsKey(new Path(vm.entry.key(), worker.id()));
	}

	// Whether some VM that is alive reaches some worker.
	boolean anyReaches() {
		return this.vms.stream().anyMatch((vm) -> this.workers.stream().anyMatch((w) -> reaches(vm, w)));
	}

	// The VM ends without a word; its registration lapses later.
	void end(Vm vm, long lapseMs) {
		vm.ended = true;
		List.copyOf(vm.through).forEach(Connection::reset);
		this.timer.schedule(lapseMs,
				() -> this.vms.forEach((other) -> other.gateway.entryVms().deregister(vm.entry.key(), 0)));
	}

	private Vm vm(EntryVm entry) {
		return this.vms.stream().filter((v) -> v.entry.key().equals(entry.key())).findAny().orElseThrow();
	}

	/**
	 * How a cut shows.
	 */
	enum Cut {

		REFUSED, HANGS

	}

	private record Path(String vm, String worker) {

	}

	/**
	 * A request on its way to a worker or running there.
	 */
	private final class Connection {

		private final Vm vm;

		private final Optional<Vm> through;

		private final WorkerInfo worker;

		private final ExchangeListener listener;

		private boolean closed;

		private Connection(Vm vm, Optional<Vm> through, WorkerInfo worker, ExchangeListener listener) {
			this.vm = vm;
			this.through = through;
			this.worker = worker;
			this.listener = listener;
			vm.open.add(this);
			through.ifPresent((t) -> t.through.add(this));
		}

		private void close() {
			this.closed = true;
			this.vm.open.remove(this);
			this.through.ifPresent((t) -> t.through.remove(this));
		}

		private void reset() {
			if (!this.closed) {
				close();
				this.listener.onFailure(new ExchangeFailure(true, "reset"));
			}
		}

		private void respond() {
			if (!this.closed && reaches(this.through.orElse(this.vm), this.worker)) {
				close();
				this.listener.onHead(
						new ResponseHead(200, List.of(), ResponseAuthenticity.SIGNED, false, false, WorkerStatus.NONE));
				this.listener.onBytes("fine".getBytes());
				this.listener.onEnd();
			}
		}

	}

	/**
	 * A VM and its calls to workers.
	 */
	final class Vm extends NopWorkers {

		final EntryVm entry;

		final Gateway gateway;

		private final Set<Connection> open = new HashSet<>();

		private final Set<Connection> through = new HashSet<>();

		private boolean ended;

		private Vm(int number) {
			this.entry = new EntryVm("vms/" + number, "10.0.0." + number + ":80", "region-1", "hall-" + number % 3, 1,
					false, "10.0.0." + number + ":90", "");
			this.gateway = new Gateway(new GatewaySettings("vm-" + number, this.entry.hall(), 0.2, 50, 10_000),
					new GatewayPorts(this, SimulatedPaths.this.timer, SimulatedPaths.this.timer::now,
							SimulatedPaths.this.timer::now, SimulatedPaths.this.random::nextDouble, new DecisionLog(0),
							new RelayMetrics(new MetricRegistry())));
			this.gateway.entryVms().registerSelf(this.entry);
		}

		FakeCaller call(String route) {
			FakeCaller c = new FakeCaller();
			String id = "r" + SimulatedPaths.this.nextRequest++;
			SimulatedPaths.this.callers.put(id, c);
			this.gateway.handle(new RelayRequest(id, "POST", "/" + route + "/x", "shop.example", List.of(), new byte[0],
					800, null, List.of(), null, null, null), c, SimulatedPaths.this.timer.now());
			return c;
		}

		@Override
		public Exchange run(WorkerCall call, ExchangeListener listener) {
			Optional<Vm> other = this.gateway.paths().tunnelVm(call.worker()).map(SimulatedPaths.this::vm);
			Connection c = new Connection(this, other, call.worker(), listener);
			connect(other, call.worker(), (seen) -> onConnected(c, call, seen));
			return c::close;
		}

		private void onConnected(Connection c, WorkerCall call, ListenState seen) {
			if (c.closed) {
				return;
			}
			if (seen != ListenState.ACCEPTS) {
				c.close();
				c.listener.onFailure(new ExchangeFailure(false, seen.code()));
				return;
			}
			SimulatedPaths.this.runs.merge(call.request().id(), 1, Integer::sum);
			SimulatedPaths.this.timer.schedule(RUN_MS, c::respond);
		}

		// A tunnel is refused at once by a VM that knows that its own path is lost.
		private void connect(Optional<Vm> other, WorkerInfo w, Consumer<ListenState> callback) {
			Vm from = other.orElse(this);
			if (from.ended) {
				later(CONNECT_TIMEOUT_MS, () -> callback.accept(ListenState.NO_RESPONSE));
			}
			else if (other.isPresent() && from.gateway.tunnelTarget(w.id()).isEmpty()) {
				later(HOP_MS, () -> callback.accept(ListenState.NO_RESPONSE));
			}
			else {
				Cut cut = SimulatedPaths.this.cuts.get(new Path(from.entry.key(), w.id()));
				later((cut == Cut.HANGS) ? CONNECT_TIMEOUT_MS : HOP_MS, () -> callback.accept(seen(cut)));
			}
		}

		private static ListenState seen(Cut cut) {
			if (cut == null) {
				return ListenState.ACCEPTS;
			}
			return (cut == Cut.REFUSED) ? ListenState.REFUSES : ListenState.NO_RESPONSE;
		}

		private void later(long ms, Runnable task) {
			SimulatedPaths.this.timer.schedule(ms, task);
		}

		@Override
		public void checkListening(WorkerInfo worker, Consumer<ListenState> callback) {
			connect(Optional.empty(), worker, callback);
		}

		@Override
		public void checkThrough(EntryVm vm, WorkerInfo worker, Consumer<ListenState> callback) {
			connect(Optional.of(vm(vm)), worker, callback);
		}

	}

}
