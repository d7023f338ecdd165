package io.shallotspur.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.LongStream;

import io.shallotspur.serving.LoadLevel;

/**
 * The retry budgets of all VMs of a fleet in virtual time. Each VM learns of changes of
 * the registrations with a delay of its own and retries as often as its budget allows.
 */
final class SimulatedFleet {

	static final long WINDOW_MS = 10_000;

	static final double SLACK = 56;

	// How long a registration outlives its VM, and how often it is renewed, ms.
	private static final long LEASE_MS = 3_000;

	private static final long STEP_MS = 100;

	private static final long MIN_DELAY_MS = 50;

	private static final long MAX_DELAY_MS = 1_500;

	private static final String UPSTREAM = "plain";

	private static final GatewaySettings SETTINGS = new GatewaySettings("vm", "hall", 0.2, SLACK, WINDOW_MS);

	private final SplittableRandom random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));

	private final Map<String, EntryVm> registered = new HashMap<>();

	private final Deque<Long> retries = new ArrayDeque<>();

	// Requests of callers in the last two windows.
	private final Deque<Long> requests = new ArrayDeque<>();

	private int requestsPerStep;

	private final List<Vm> vms = new ArrayList<>();

	private long now;

	private int startCount;

	private int maxInWindow;

	private double maxExcess = Double.NEGATIVE_INFINITY;

	// Which VMs receive requests whose attempts fail.
	private Predicate<Vm> fails = (v) -> true;

	SimulatedFleet(long seed) {
		this.random = new SplittableRandom(seed);
	}

	Vm start(int number, int regions) {
		EntryVm self = new EntryVm(number + "/" + this.startCount++, "10.0.0." + number + ":80",
				"region-" + number % regions, "hall-" + number % 3, 1, false);
		Vm vm = new Vm(self);
		this.vms.add(vm);
		vm.directory.registerSelf(self);
		this.registered.values().forEach((v) -> later(delay(), () -> vm.directory.register(v)));
		register(vm);
		return vm;
	}

	void register(Vm vm) {
		vm.slack.registered(this.now + LEASE_MS, this.now);
		announce(vm);
	}

	private void announce(Vm vm) {
		this.registered.put(vm.self.key(), vm.self);
		tellOthers(vm, (d) -> d.register(vm.self));
	}

	// The store removes the registration; the VM goes on.
	void deregister(Vm vm) {
		this.registered.remove(vm.self.key());
		tellOthers(vm, (d) -> d.deregister(vm.self.key(), this.now));
	}

	private void tellOthers(Vm vm, Consumer<EntryVmDirectory> change) {
		this.vms.stream()
			.filter((v) -> v != vm)
			.forEach((v) -> v.laterInOrder(delay(), () -> change.accept(v.directory)));
	}

	void setOverloaded(Vm vm, boolean overloaded) {
		vm.self = vm.self.withLoadLevel(overloaded ? LoadLevel.OVERLOADED : LoadLevel.NORMAL);
		vm.directory.registerSelf(vm.self);
		announce(vm);
	}

	// The process ends at once; its registration ends with its lease.
	void kill(Vm vm) {
		this.vms.remove(vm);
		later(LEASE_MS, () -> deregister(vm));
	}

	// The process gives up its registration and ends some seconds later.
	void stop(Vm vm, long graceMs) {
		vm.slack.deregistered(this.now);
		deregister(vm);
		later(graceMs, () -> this.vms.remove(vm));
	}

	void failOnly(Predicate<Vm> which) {
		this.fails = which;
	}

	// Requests that callers send each 100 ms to the VMs that they are directed to.
	void setRequestsPerStep(int n) {
		this.requestsPerStep = n;
	}

	List<Vm> vms() {
		return List.copyOf(this.vms);
	}

	/**
	 * Lets time pass, in which each VM retries whenever its budget allows it.
	 * @param ms the time in milliseconds
	 */
	void run(long ms) {
		for (long end = this.now + ms; this.now < end; this.now += STEP_MS) {
			while (!this.events.isEmpty() && this.events.peek().at() <= this.now) {
				this.events.poll().action().run();
			}
			sendRequests();
			for (Vm vm : vms()) {
				vm.retryWhileAllowed();
			}
			updateExcess();
		}
	}

	private void sendRequests() {
		for (int i = 0; i < this.requestsPerStep; i++) {
			this.requests.add(this.now);
			List<Vm> serving = this.vms.stream().filter((v) -> !v.isStandby()).toList();
			if (!serving.isEmpty()) {
				serving.get(this.random.nextInt(serving.size())).budget.recordFirstAttempt(UPSTREAM, this.now);
			}
		}
		while (!this.requests.isEmpty() && this.requests.peekFirst() <= this.now - 2 * WINDOW_MS) {
			this.requests.removeFirst();
		}
	}

	// The operator's rule: the requests of the window, of the one before it or of the one
	// half a window before it, whichever has most.
	private void updateExcess() {
		long most = LongStream.of(0, WINDOW_MS / 2, WINDOW_MS)
			.map((ms) -> requestsInWindow(this.now - ms))
			.max()
			.getAsLong();
		this.maxExcess = Math.max(this.maxExcess, this.retries.size() - SETTINGS.retryRatio() * most - SLACK);
	}

	private long requestsInWindow(long end) {
		return this.requests.stream().filter((at) -> at > end - WINDOW_MS && at <= end).count();
	}

	/**
	 * Returns by how many retries a window exceeded the rule at most.
	 * @return the number of retries, negative if none exceeded it
	 */
	double maxExcess() {
		return this.maxExcess;
	}

	private void recordRetry() {
		this.retries.add(this.now);
		while (this.retries.peekFirst() <= this.now - WINDOW_MS) {
			this.retries.removeFirst();
		}
		this.maxInWindow = Math.max(this.maxInWindow, this.retries.size());
	}

	void startMeasuring() {
		this.maxInWindow = 0;
	}

	/**
	 * Returns the highest number of retries of all VMs in any window since the start or
	 * {@link #startMeasuring}.
	 * @return the number of retries
	 */
	int maxInWindow() {
		return this.maxInWindow;
	}

	private long delay() {
		return this.random.nextLong(MIN_DELAY_MS, MAX_DELAY_MS);
	}

	private void later(long ms, Runnable action) {
		this.events.add(new Event(this.now + ms, action));
	}

	private record Event(long at, Runnable action) {

	}

	/**
	 * One start of a VM.
	 */
	final class Vm {

		private EntryVm self;

		private final EntryVmDirectory directory = new EntryVmDirectory();

		private final UpstreamRetryBudget budget = new UpstreamRetryBudget(SETTINGS);

		private final SettledShare slack = new SettledShare(WINDOW_MS);

		private long lastChangeAt;

		private Vm(EntryVm self) {
			this.self = self;
		}

		boolean isStandby() {
			return this.directory.isStandby(SimulatedFleet.this.now);
		}

		private void laterInOrder(long ms, Runnable change) {
			this.lastChangeAt = Math.max(this.lastChangeAt, SimulatedFleet.this.now + ms);
			SimulatedFleet.this.events.add(new Event(this.lastChangeAt, change));
		}

		private void retryWhileAllowed() {
			long time = SimulatedFleet.this.now;
			if (SimulatedFleet.this.registered.containsKey(this.self.key())) {
				this.slack.renewed(time + LEASE_MS);
			}
			double share = this.slack.update(RetrySlackShare.of(this.directory, time), time, time);
			while (SimulatedFleet.this.fails.test(this) && this.budget.tryAcquire(UPSTREAM, share, time)) {
				recordRetry();
			}
		}

	}

}
