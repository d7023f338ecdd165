package io.shallotspur.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

import io.shallotspur.contract.Contract;
import io.shallotspur.contract.RequestClass;
import io.shallotspur.distribution.ContractChange;
import io.shallotspur.exc.ShallotspurException;
import io.shallotspur.membership.MemberStatus;
import io.shallotspur.membership.MembershipSettings;
import io.shallotspur.standin.store.MemoryKvStore;
import io.shallotspur.standin.store.StoreCalls;

/**
 * Measures membership and contracts at several sizes, and prints tables in Markdown. The
 * loops are those of the live system, over links in virtual time; one more run is over
 * loopback connections. Stateless.
 */
public final class ClusterMeasure {

	private static final int[] SIZES = { 8, 50, 200 };

	private static final long DELAY_MS = 1;

	private static final long START_LIMIT_MS = 120_000;

	private static final long LIMIT_MS = 120_000;

	private static final long SETTLE_MS = 200_000;

	private static final long IDLE_MS = 60_000;

	private static final long CALM_MS = 15_000;

	private static final long PAUSE_MS = 10_000;

	private static final double MS_PER_S = 1000;

	private static final String CUSTOMER = "lonestar";

	private final ClusterMeasureOptions options;

	private final PrintStream out;

	private final PrintStream err;

	private int changes;

	private ClusterMeasure(ClusterMeasureOptions options, PrintStream out, PrintStream err) {
		this.options = options;
		this.out = out;
		this.err = err;
	}

	/**
	 * Measures and prints.
	 * @param options what to measure
	 * @param out receives the tables
	 * @param err told what is being done
	 * @return the exit code: 0 if every run reached its end, else 1
	 * @throws ShallotspurException if the run over connections cannot start
	 */
	public static int run(ClusterMeasureOptions options, PrintStream out, PrintStream err) throws ShallotspurException {
		return new ClusterMeasure(options, out, err).runAll();
	}

	private int runAll() throws ShallotspurException {
		List<String> idle = new ArrayList<>();
		List<String> changes = new ArrayList<>();
		List<String> contracts = new ArrayList<>();
		for (int size : SIZES) {
			this.err.println("size " + size);
			MemoryKvStore store = new MemoryKvStore(() -> 0);
			VirtualFleet fleet = new VirtualFleet(MembershipSettings.DEFAULT, store, DELAY_MS, this.options.seed);
			idle.add(idleRow(fleet, store, size));
			changes.add(changeRow(fleet, size));
			contracts.add(contractRow(fleet, store, size));
		}
		table("Idle: sent by each VM, and calls of the whole fleet to the store",
				"| VMs | start to complete views (ms) | bytes/s | messages/s | store reads/s | store writes/s | open watches |",
				idle);
		table("Changes of the membership until all views agree, p50 / p99 / max in ms",
				"| VMs | death | of it until the first suspicion | join | announced leave |", changes);
		table("Contract accepted until in force at every running VM, p50 / p99 / max in ms",
				"| VMs | calm | one VM paused (the running ones) | the paused VM after it goes on | store away after acceptance | not in force in time |",
				contracts);
		return this.options.virtualOnly ? 0 : new LoopbackMeasure(this.options, this.out, this.err).run();
	}

	private String idleRow(VirtualFleet fleet, MemoryKvStore store, int size) {
		fleet.start(size);
		long joined = fleet.until((v) -> v.live().size() == size, START_LIMIT_MS);
		fleet.time()
			.advanceUntil(() -> fleet.all().stream().allMatch((vm) -> vm.contracts().isReady()), START_LIMIT_MS);
		fleet.time().advance(SETTLE_MS);
		long bytes = fleet.peers().bytes();
		long messages = fleet.peers().messages();
		StoreCalls c = store.calls();
		fleet.time().advance(IDLE_MS);
		StoreCalls d = store.calls();
		double s = IDLE_MS / MS_PER_S;
		return String.format(Locale.ROOT, "| %d | %d | %.0f | %.2f | %.2f | %.2f | %d |", size, joined,
				(fleet.peers().bytes() - bytes) / s / size, (fleet.peers().messages() - messages) / s / size,
				(d.reads() - c.reads()) / s, (d.writes() - c.writes()) / s, d.openWatches());
	}

	private String changeRow(VirtualFleet fleet, int size) {
		Samples death = new Samples();
		Samples suspicion = new Samples();
		Samples join = new Samples();
		Samples leave = new Samples();
		for (int i = 0; i < this.options.rounds; i++) {
			String id = "vm-" + (1 + i % size);
			fleet.kill(id);
			long t = fleet.time().now();
			fleet.time().advanceUntil(() -> suspected(fleet, id), LIMIT_MS);
			suspicion.add(fleet.time().now() - t);
			fleet.until((v) -> v.find(id).isEmpty(), LIMIT_MS);
			death.add(fleet.time().now() - t);
			fleet.time().advance(CALM_MS);
			fleet.start(id);
			join.add(fleet.until((v) -> v.live().size() == size, LIMIT_MS));
			fleet.time().advance(CALM_MS);
			fleet.vm(id).loop().leave();
			leave.add(fleet.until((v) -> v.live().size() == size - 1, LIMIT_MS));
			fleet.kill(id);
			fleet.time().advance(CALM_MS);
			fleet.start(id);
			fleet.until((v) -> v.live().size() == size, LIMIT_MS);
			fleet.time().advance(CALM_MS);
		}
		return "| " + size + " | " + death.row() + " | " + suspicion.row() + " | " + join.row() + " | " + leave.row()
				+ " |";
	}

	private static boolean suspected(VirtualFleet fleet, String id) {
		return fleet.all()
			.stream()
			.filter((vm) -> !vm.node().isKilled())
			.anyMatch((vm) -> vm.view().find(id).map((m) -> m.status() == MemberStatus.SUSPECT).orElse(true));
	}

	private String contractRow(VirtualFleet fleet, MemoryKvStore store, int size) {
		Samples calm = new Samples();
		Samples paused = new Samples();
		Samples resumed = new Samples();
		Samples outage = new Samples();
		long revision = 0;
		for (int i = 0; i < this.options.rounds; i++) {
			revision = change(fleet, fleet.vm("vm-1"), revision);
			calm.add(inForce(fleet, revision, ""));
			String other = "vm-" + (2 + i % (size - 1));
			fleet.vm(other).node().pause();
			revision = change(fleet, fleet.vm("vm-1"), revision);
			paused.add(inForce(fleet, revision, other));
			fleet.time().advance(PAUSE_MS);
			fleet.vm(other).node().resume();
			resumed.add(inForce(fleet, revision, ""));
			fleet.time().advance(CALM_MS);
			revision = change(fleet, fleet.vm(other), revision);
			store.setDown(true);
			outage.add(inForce(fleet, revision, ""));
			fleet.time().advance(CALM_MS);
			store.setDown(false);
			fleet.time().advance(2 * CALM_MS);
		}
		int late = calm.missing() + paused.missing() + resumed.missing() + outage.missing();
		return "| " + size + " | " + calm.row() + " | " + paused.row() + " | " + resumed.row() + " | " + outage.row()
				+ " | " + late + " |";
	}

	private long change(VirtualFleet fleet, VirtualVm vm, long expected) {
		AtomicLong revision = new AtomicLong();
		Contract c = terms(CUSTOMER, 0.1 + (this.changes % 9) / 10.0);
		vm.contracts()
			.change(new ContractChange("change-" + this.changes++, c, expected))
			.subscribe((a) -> revision.set(a.revision()),
					(ex) -> this.err.println("change failed: " + ex.getMessage()));
		fleet.time().advanceUntil(() -> revision.get() > 0, LIMIT_MS);
		return revision.get();
	}

	static Contract terms(String customer, double share) {
		return new Contract(customer, 0, share, List.of(),
				List.of(new RequestClass("registration-card", "draft-llm", 2, 2000, 53, 15_000, true),
						new RequestClass("key-encoding", "kiosk-api", 0, 300, 300, 2000, false)),
				false);
	}

	private static long inForce(VirtualFleet fleet, long revision, String except) {
		long t = fleet.time().now();
		boolean done = fleet.time()
			.advanceUntil(() -> fleet.all()
				.stream()
				.allMatch((vm) -> vm.id().equals(except) || vm.contracts()
					.contracts()
					.find(CUSTOMER)
					.filter((c) -> c.revision() >= revision)
					.isPresent()), LIMIT_MS);
		return done ? fleet.time().now() - t : -1;
	}

	private void table(String title, String head, List<String> rows) {
		this.out.println("### " + title);
		this.out.println();
		this.out.println(head);
		this.out.println("|---".repeat((int) head.chars().filter((c) -> c == '|').count() - 1) + "|");
		rows.forEach(this.out::println);
		this.out.println();
	}

}
