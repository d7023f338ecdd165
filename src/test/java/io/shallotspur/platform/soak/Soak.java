package io.shallotspur.platform.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The soak on the command line: {@code FIRST-SEED [SEEDS [SECONDS [VMS]]]}. Logs of the
 * processes are kept under {@code target/soak} for seeds that broke something.
 */
public final class Soak {

	private static final int MS_PER_S = 1_000;

	private Soak() {
	}

	/**
	 * Runs the soak; ends with 1 if any seed broke a promise.
	 * @param args first seed, number of seeds, seconds of faults each, VMs
	 */
	public static void main(String[] args) throws IOException, InterruptedException {
		long first = Long.parseLong(args[0]);
		int seeds = (args.length > 1) ? Integer.parseInt(args[1]) : 1;
		long lengthMs = ((args.length > 2) ? Long.parseLong(args[2]) : 12) * MS_PER_S;
		int vms = (args.length > 3) ? Integer.parseInt(args[3]) : 4;
		int failed = 0;
		for (long seed = first; seed < first + seeds; seed++) {
			Path dir = Files
				.createDirectories(Path.of("target", "soak", "seed-" + seed + "-" + ProcessHandle.current().pid()));
			SoakRun r = new SoakRun(seed, vms, lengthMs, dir);
			List<String> broken = r.run();
			System.out.println("[soak] seed=" + seed + " seconds=" + lengthMs / MS_PER_S + " vms=" + vms + " "
					+ r.summary() + " broken=" + broken.size());
			for (String b : broken) {
				System.out.println("[soak] seed=" + seed + " " + b);
			}
			failed += broken.isEmpty() ? 0 : 1;
			if (broken.isEmpty()) {
				delete(dir);
			}
		}
		System.exit((failed > 0) ? 1 : 0);
	}

	private static void delete(Path dir) throws IOException {
		try (var files = Files.list(dir)) {
			for (Path p : files.toList()) {
				Files.delete(p);
			}
		}
		Files.delete(dir);
	}

}
