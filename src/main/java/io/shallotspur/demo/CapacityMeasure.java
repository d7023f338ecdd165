package io.shallotspur.demo;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.Locale;

import io.shallotspur.membership.MembershipSettings;
import io.shallotspur.standin.store.MemoryKvStore;

/**
 * Measures what each role costs at several sizes, on one thread, and prints tables in
 * Markdown with a line through each. Stateless.
 */
public final class CapacityMeasure {

	private static final int[] MEMBERS = { 50, 200, 780 };

	private static final int SETTLE_MS = 30_000;

	private static final int IDLE_MS = 10_000;

	private static final int ROUND_MS = 1000;

	private CapacityMeasure() {
	}

	/**
	 * Measures and prints.
	 * @param options what to measure
	 * @param out receives the tables
	 * @param err told what is being done
	 * @return the exit code
	 */
	public static int run(CapacityMeasureOptions options, PrintStream out, PrintStream err) {
		CapacityTable t = new CapacityTable(out, options.scale);
		out.printf(Locale.ROOT, "Load average %.1f on %d processors at the start, Java %s.%n", load(),
				Runtime.getRuntime().availableProcessors(), System.getProperty("java.version"));
		err.println("contracts, map, ledger, record, metrics, tokens");
		new CapacityState(t, options.seed).measure();
		err.println("schedulers");
		new CapacityScheduling(t, options.seed).measure();
		err.println("membership");
		membership(t, options.seed);
		out.printf(Locale.ROOT, "%nLoad average %.1f at the end.%n", load());
		return 0;
	}

	private static void membership(CapacityTable t, long seed) {
		t.section("Idle member: the live loops of membership and contracts in virtual time");
		double[] bytes = new double[1];
		double[] messages = new double[1];
		t.row("processor time", "us/VM/s", "members", MEMBERS, (n) -> {
			VirtualFleet fleet = new VirtualFleet(MembershipSettings.DEFAULT, new MemoryKvStore(() -> 0), 1, seed)
				.start(n);
			fleet.time().advance(SETTLE_MS);
			long b = fleet.peers().bytes();
			long m = fleet.peers().messages();
			long cpu = CapacityTable.cpuNanos();
			fleet.time().advance(IDLE_MS);
			double perVm = (double) n * IDLE_MS / ROUND_MS;
			bytes[0] = (fleet.peers().bytes() - b) / perVm;
			messages[0] = (fleet.peers().messages() - m) / perVm;
			return (CapacityTable.cpuNanos() - cpu) / perVm / ROUND_MS;
		});
		t.note("sent at the largest size", String.format(Locale.ROOT, "%.1f bytes/VM/s", bytes[0]));
		t.note("sent at the largest size", String.format(Locale.ROOT, "%.2f messages/VM/s", messages[0]));
	}

	private static double load() {
		return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
	}

}
