package io.shallotspur.cli;

import java.util.List;

/**
 * Entry point of the program.
 */
public final class Main {

	private Main() {
	}

	/**
	 * Runs one command and ends the process with its exit status.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.exit(new CommandLine(entries(), System.out, System.err).run(args));
	}

	static List<CommandEntry> entries() {
		return List.of(new CommandEntry("check", "check a settings file", CheckCommand::new),
				new CommandEntry("replay", "replay a recorded trace against a policy", ReplayEntry::new),
				new CommandEntry("measure-ledger", "measure the ledger, retries and quarantine",
						MeasureLedgerEntry::new),
				new CommandEntry("measure-routing", "measure the policies on traces", MeasureRoutingEntry::new),
				new CommandEntry("standin", "run stand-ins for the platform and the engines", StandinCommand::new),
				new CommandEntry("version", "print the version", VersionCommand::new));
	}

}
