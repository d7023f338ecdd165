package io.shallotspur.platform.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Command line of the soak test: {@code FIRST-SEED [SEEDS [SECONDS [VMS]]]}. For seeds
 * with violations, the logs of the processes are kept under {@code target/soak}.
 */
public final class Soak {

	private static final int MS_PER_S = 1_000;

	private Soak() {
	}

	/**
	 * Runs the soak test. Exits with status 1 if any seed has violations, otherwise 0.
	 * @param args the first seed, the number of seeds, the seconds of fault injection per
	 * seed and the number of VMs
	 */
	public static void main(String[] args) throws IOException, InterruptedException {
		long first = Long.parseLong(args[0]);
		int seeds = (args.length > 1) ? Integer.parseInt(args[1]) : 1;
		long lengthMs = ((args.length > 2) ? Long.parseLong(args[2]) : 12) * MS_PER_S;
		int vms = (args.length > 3) ? Integer.parseInt(args[3]) : 4;
		int failedSeeds = 0;
		for (long seed = first; seed < first + seeds; seed++) {
			Path dir = Files
				.createDirectories(Path.of("target", "soak", "seed-" + seed + "-" + ProcessHandle.current().pid()));
			SoakRun run = new SoakRun(seed, vms, lengthMs, dir);
			List<String> violations = run.run();
			System.out.println("[soak] seed=" + seed + " seconds=" + lengthMs / MS_PER_S + " vms=" + vms + " "
					+ run.summary() + " broken=" + violations.size());
			for (String violation : violations) {
				System.out.println("[soak] seed=" + seed + " " + violation);
			}
			failedSeeds += violations.isEmpty() ? 0 : 1;
			if (violations.isEmpty()) {
				delete(dir);
			}
		}
		System.exit((failedSeeds > 0) ? 1 : 0);
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
