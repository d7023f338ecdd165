package io.shallotspur.demo;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.sun.management.OperatingSystemMXBean;

import io.shallotspur.contract.Contract;
import io.shallotspur.distribution.ContractChange;
import io.shallotspur.exc.SettingsException;
import io.shallotspur.standin.store.StoreCalls;
import io.shallotspur.standin.store.StoreFaults;
import io.shallotspur.standin.store.StoreStandin;
import io.shallotspur.standin.store.VmListStandin;

/**
 * Measures eight entry VMs over loopback connections in one process, with the store and
 * the VM list behind HTTP. Not thread-safe.
 */
final class LoopbackMeasure {

	private static final int VMS = 8;

	private static final int LAST_TYPE = 39;

	private static final long LIMIT_MS = 60_000;

	private static final long SETTLE_MS = 30_000;

	private static final long IDLE_MS = 30_000;

	private static final long CALM_MS = 3000;

	private static final double MS_PER_S = 1000;

	private static final String CUSTOMER = "lonestar";

	private final ClusterMeasureOptions options;

	private final PrintStream out;

	private final PrintStream err;

	private final StoreStandin store = new StoreStandin(LoopbackMeasure::now);

	private final VmListStandin list = new VmListStandin();

	private final List<LoopbackVm> vms = new ArrayList<>();

	private int changes;

	LoopbackMeasure(ClusterMeasureOptions options, PrintStream out, PrintStream err) {
		this.options = options;
		this.out = out;
		this.err = err;
	}

	int run() throws SettingsException {
		this.err.println("loopback");
		String storeUrl = "http://127.0.0.1:" + this.store.start("127.0.0.1", 0).getPort();
		String listUrl = "http://127.0.0.1:" + this.list.start("127.0.0.1", 0).getPort();
		try {
			for (int i = 1; i <= VMS; i++) {
				this.vms.add(new LoopbackVm("vm-" + i, storeUrl, listUrl, this.options.seed + i));
			}
			this.list.set(this.vms.stream().map(LoopbackVm::entry).toList());
			this.vms.forEach(LoopbackVm::start);
			boolean ready = await(() -> this.vms.stream()
				.allMatch((v) -> v.service().isReady() && v.service().view().live().size() == VMS));
			if (!ready) {
				this.err.println("the VMs did not find each other");
				return 1;
			}
			measure();
			return 0;
		}
		finally {
			this.vms.forEach(LoopbackVm::kill);
			this.store.stop();
			this.list.stop();
		}
	}

	private void measure() {
		sleep(SETTLE_MS);
		this.out.println("### Eight VMs over loopback connections");
		this.out.println();
		this.out.println("| what | measured |");
		this.out.println("|---|---|");
		idle();
		Samples calm = new Samples();
		Samples outage = new Samples();
		long revision = 0;
		for (int i = 0; i < this.options.rounds; i++) {
			revision = timed(revision, calm);
			this.store.setFaults(StoreFaults.NONE);
			revision = timedWithOutage(revision, outage);
			sleep(CALM_MS);
		}
		row("contract accepted until in force at all, p50 / p99 / max in ms, " + calm.count() + " changes", calm.row());
		row("the same, store away right after acceptance, " + outage.count() + " changes", outage.row());
		LoopbackVm dead = this.vms.remove(VMS - 1);
		long t = now();
		dead.kill();
		await(() -> this.vms.stream().allMatch((v) -> v.service().view().find(dead.id()).isEmpty()));
		row("one death until all views agree, in ms (one run)", Long.toString(now() - t));
		this.out.println();
	}

	private void idle() {
		long bytes = bytes();
		long messages = messages();
		long links = linkBytes();
		StoreCalls c = this.store.calls();
		OperatingSystemMXBean os = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
		long cpu = os.getProcessCpuTime();
		sleep(IDLE_MS);
		double s = IDLE_MS / MS_PER_S;
		StoreCalls d = this.store.calls();
		double core = (os.getProcessCpuTime() - cpu) / (double) TimeUnit.SECONDS.toNanos(1) / s / VMS;
		row("control messages sent by each VM", format("%.0f bytes/s, %.2f messages/s", (bytes() - bytes) / s / VMS,
				(messages() - messages) / s / VMS));
		row("handshakes and heartbeats sent by each VM", format("%.0f bytes/s", (linkBytes() - links) / s / VMS));
		row("store calls of the fleet",
				format("%.2f reads/s, %.2f writes/s, ", (d.reads() - c.reads()) / s, (d.writes() - c.writes()) / s)
						+ d.openWatches() + " open watches");
		row("processor time of the whole process, stand-ins included, for each VM",
				format("%.2f %% of a core", core * 100));
	}

	private long timed(long expected, Samples samples) {
		long revision = change(expected);
		long t = now();
		boolean done = await(() -> inForce(revision));
		samples.add(done ? now() - t : -1);
		return revision;
	}

	private long timedWithOutage(long expected, Samples samples) {
		long revision = change(expected);
		this.store.setFaults(new StoreFaults(true, 0, 0, 0, false));
		long t = now();
		boolean done = await(() -> inForce(revision));
		samples.add(done ? now() - t : -1);
		sleep(CALM_MS);
		this.store.setFaults(StoreFaults.NONE);
		return revision;
	}

	private long change(long expected) {
		Contract terms = ClusterMeasure.terms(CUSTOMER, 0.1 + (this.changes % 9) / 10.0);
		Contract c = this.vms.get(this.changes % VMS)
			.service()
			.contracts()
			.change(new ContractChange("change-" + this.changes++, terms, expected))
			.block();
		return (c != null) ? c.revision() : 0;
	}

	private boolean inForce(long revision) {
		return this.vms.stream()
			.allMatch((v) -> v.service()
				.contracts()
				.contracts()
				.find(CUSTOMER)
				.filter((c) -> c.revision() >= revision)
				.isPresent());
	}

	private long bytes() {
		return this.vms.stream().mapToLong((v) -> v.traffic().bytesOut(1, LAST_TYPE)).sum();
	}

	private long linkBytes() {
		return this.vms.stream().mapToLong((v) -> v.traffic().bytesOut(0, 0)).sum();
	}

	private long messages() {
		return this.vms.stream().mapToLong((v) -> v.traffic().messagesOut(1, LAST_TYPE)).sum();
	}

	private void row(String what, String measured) {
		this.out.println("| " + what + " | " + measured + " |");
	}

	private static String format(String format, Object... values) {
		return String.format(Locale.ROOT, format, values);
	}

	private static boolean await(BooleanSupplier condition) {
		long end = now() + LIMIT_MS;
		while (!condition.getAsBoolean()) {
			if (now() > end) {
				return false;
			}
			sleep(1);
		}
		return true;
	}

	private static void sleep(long ms) {
		try {
			TimeUnit.MILLISECONDS.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static long now() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

}
