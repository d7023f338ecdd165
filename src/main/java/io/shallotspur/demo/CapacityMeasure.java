package io.shallotspur.demo;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

import io.shallotspur.membership.MembershipSettings;
import io.shallotspur.standin.store.MemoryKvStore;

/**
 * Measures what each role costs at several sizes, on one thread, and prints tables in
 * Markdown with a line through each. Stateless.
 */
public final class CapacityMeasure {

	private static final int SETTLE_MS = 30_000;

	private static final int IDLE_MS = 10_000;

	private static final int SECOND_MS = 1000;

	private static final double NANOS_PER_MICRO = 1000;

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
		membership(t, options.members, options.seed);
		out.printf(Locale.ROOT, "%nLoad average %.1f at the end.%n", load());
		return 0;
	}

	private static void membership(CapacityTable t, int largest, long seed) {
		int[] sizes = { largest / 4, largest / 2, largest };
		Map<Integer, Double> bytes = new HashMap<>();
		Map<Integer, Double> messages = new HashMap<>();
		t.section("Idle member: the live loops of membership and contracts in virtual time");
		t.row("processor time", "us/VM/s", "members", sizes, (n) -> {
			VirtualFleet fleet = new VirtualFleet(MembershipSettings.DEFAULT, new MemoryKvStore(() -> 0), 1, seed)
				.start(n);
			fleet.time().advance(SETTLE_MS);
			long b = fleet.peers().bytes();
			long m = fleet.peers().messages();
			long cpu = CapacityTable.cpuNanos();
			fleet.time().advance(IDLE_MS);
			double seconds = (double) n * IDLE_MS / SECOND_MS;
			double micros = (CapacityTable.cpuNanos() - cpu) / NANOS_PER_MICRO / seconds;
			bytes.put(n, (fleet.peers().bytes() - b) / seconds);
			messages.put(n, (fleet.peers().messages() - m) / seconds);
			return micros;
		});
		t.row("sent", "bytes/VM/s", "members", sizes, (n) -> bytes.getOrDefault(n, Double.NaN));
		t.row("sent", "messages/VM/s", "members", sizes, (n) -> messages.getOrDefault(n, Double.NaN));
	}

	private static double load() {
		return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
	}

}
