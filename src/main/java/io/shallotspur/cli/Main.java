package io.shallotspur.cli;

import java.io.PrintStream;
import java.util.List;

import io.shallotspur.demo.CapacityMeasure;
import io.shallotspur.demo.CapacityMeasureOptions;
import io.shallotspur.demo.ClusterMeasure;
import io.shallotspur.demo.ClusterMeasureOptions;
import io.shallotspur.demo.Demo;
import io.shallotspur.demo.DemoOptions;
import io.shallotspur.demo.LedgerMeasure;
import io.shallotspur.demo.LedgerMeasureOptions;
import io.shallotspur.demo.RelayMeasure;
import io.shallotspur.demo.RelayOptions;
import io.shallotspur.demo.Traffic;
import io.shallotspur.demo.TrafficOptions;
import io.shallotspur.exc.ShallotspurException;
import io.shallotspur.platform.PlatformCommand;
import io.shallotspur.replay.ReplayCommand;
import io.shallotspur.replay.ReplayOptions;
import io.shallotspur.replay.Sweep;
import io.shallotspur.replay.SweepOptions;

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

	static List<CommandEntry<?>> entries() {
		return List.of(CommandEntry.of("check", "check a settings file", CheckCommand::new),
				new CommandEntry<>("demo", "three entry VMs and all they need in one process, under traffic",
						DemoOptions::new, (o, out, err) -> new Demo().run(o, out, err)),
				new CommandEntry<>("traffic", "callers of the demonstration against entry VMs in other processes",
						TrafficOptions::new, Traffic::run),
				CommandEntry.of("run", "run an entry VM", RunCommand::new),
				CommandEntry.of("platform", "run an entry VM on the users' platform", PlatformCommand::new),
				CommandEntry.of("contract", "list, get, put or retire contracts", ContractCommand::new),
				CommandEntry.of("standin", "run stand-ins for the platform and the engines", StandinCommand::new),
				new CommandEntry<>("replay", "replay a recorded trace against a policy", ReplayOptions::new,
						(o, out, err) -> new ReplayCommand().run(o, out, err)),
				new CommandEntry<>("measure-routing", "measure the policies on traces", SweepOptions::new,
						(o, out, err) -> sweep(o, err)),
				new CommandEntry<>("measure-ledger", "measure the ledger, retries and quarantine",
						LedgerMeasureOptions::new, (o, out, err) -> new LedgerMeasure().run(o, out, err)),
				CommandEntry.of("report", "say whether the terms of a customer were kept", ReportEntry::new),
				new CommandEntry<>("measure-cluster", "measure membership and contracts at several sizes",
						ClusterMeasureOptions::new, ClusterMeasure::run),
				new CommandEntry<>("measure-capacity", "measure what each role costs at several sizes",
						CapacityMeasureOptions::new, CapacityMeasure::run),
				new CommandEntry<>("measure-relay", "measure how many tokens an entry VM relays", RelayOptions::new,
						(o, out, err) -> new RelayMeasure().run(o, out, err)),
				CommandEntry.of("version", "print the version", VersionCommand::new));
	}

	private static int sweep(SweepOptions options, PrintStream err) throws ShallotspurException {
		new Sweep(options, err).run();
		return ExitCode.OK.code();
	}

}
