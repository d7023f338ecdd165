package io.shallotspur.platform.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Command line of the order soak: {@code FIRST-SEED [SEEDS [SECONDS [VMS]]]}. The logs of
 * the processes are kept under {@code target/soak} for seeds with violations.
 */
public final class OrderSoak {

	private static final int MS_PER_S = 1_000;

	private OrderSoak() {
	}

	/**
	 * Runs the soak. Exits with status 1 if any seed has violations, otherwise 0.
	 * @param args the first seed, the number of seeds, the seconds in which troubles
	 * begin and the number of VMs
	 */
	public static void main(String[] args) throws IOException, InterruptedException {
		long first = Long.parseLong(args[0]);
		int seeds = (args.length > 1) ? Integer.parseInt(args[1]) : 1;
		long lengthMs = ((args.length > 2) ? Long.parseLong(args[2]) : 30) * MS_PER_S;
		int vms = (args.length > 3) ? Integer.parseInt(args[3]) : 4;
		FreePorts ports = new FreePorts();
		int failedSeeds = 0;
		for (long seed = first; seed < first + seeds; seed++) {
			Path dir = Files
				.createDirectories(Path.of("target", "soak", "orders-" + seed + "-" + ProcessHandle.current().pid()));
			OrderRun run = new OrderRun(seed, vms, lengthMs, dir, ports);
			List<String> violations = run.run();
			System.out.println("[soak] orders seed=" + seed + " seconds=" + lengthMs / MS_PER_S + " vms=" + vms + " "
					+ run.summary() + " broken=" + violations.size());
			violations.forEach((v) -> System.out.println("[soak] " + v));
			failedSeeds += violations.isEmpty() ? 0 : 1;
		}
		System.exit((failedSeeds > 0) ? 1 : 0);
	}

}
