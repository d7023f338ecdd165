package io.shallotspur.platform.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Command line of a soak: {@code FIRST-SEED [SEEDS [SECONDS [VMS [MORE]]]]}. Runs one
 * seed after the other and prints a summary and the violations of each. The logs of the
 * processes are kept under {@code target/soak} for seeds with violations. Stateless.
 */
final class SoakCommand {

	private static final int MS_PER_S = 1_000;

	private SoakCommand() {
	}

	/**
	 * Runs the seeds. Exits with status 1 if any seed has violations, otherwise 0.
	 * @param name the name of the soak
	 * @param args the arguments as above
	 * @param defaults the number of seconds, of VMs and what else is the default, in the
	 * order of the arguments after the number of seeds
	 * @param starter creates the run of a seed
	 */
	static void main(String name, String[] args, int[] defaults, Starter starter)
			throws IOException, InterruptedException {
		long first = Long.parseLong(args[0]);
		int seeds = (args.length > 1) ? Integer.parseInt(args[1]) : 1;
		int[] values = defaults.clone();
		for (int i = 0; i < values.length && i + 2 < args.length; i++) {
			values[i] = Integer.parseInt(args[i + 2]);
		}
		int failedSeeds = 0;
		for (long seed = first; seed < first + seeds; seed++) {
			Path dir = Files
				.createDirectories(Path.of("target", "soak", name + "-" + seed + "-" + ProcessHandle.current().pid()));
			Run run = starter.create(seed, values[0] * MS_PER_S, values, dir);
			List<String> violations = run.run();
			System.out.println("[soak] " + name + " seed=" + seed + " seconds=" + values[0] + " vms=" + values[1] + " "
					+ run.summary() + " broken=" + violations.size());
			for (String violation : violations) {
				System.out.println("[soak] " + name + " seed=" + seed + " " + violation);
			}
			if (violations.isEmpty()) {
				delete(dir);
			}
			failedSeeds += violations.isEmpty() ? 0 : 1;
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

	/** Creates runs. */
	@FunctionalInterface
	interface Starter {

		/**
		 * Creates the run of a seed.
		 * @param seed the seed
		 * @param lengthMs for how long faults begin, in milliseconds
		 * @param values the arguments after the number of seeds
		 * @param dir for the logs
		 * @return the run
		 */
		Run create(long seed, long lengthMs, int[] values, Path dir) throws IOException;

	}

	/** The run of one seed. */
	interface Run {

		/**
		 * Runs the soak for the seed.
		 * @return the violations; empty if there are none
		 */
		List<String> run() throws IOException, InterruptedException;

		String summary();

	}

}
