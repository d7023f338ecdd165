package io.shallotspur.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

import io.shallotspur.exc.ContractConflictException;
import io.shallotspur.exc.ContractInvalidException;
import io.shallotspur.exc.InputException;
import io.shallotspur.exc.PeerException;
import io.shallotspur.exc.SettingsException;
import io.shallotspur.exc.ShallotspurException;
import io.shallotspur.exc.StoreException;

/**
 * Finds the command that the user typed, fills its options and runs it. Immutable.
 * Results go to one stream and everything else to the other, so that a shell can pipe the
 * result.
 */
final class CommandLine {

	private static final int WIDTH = 100;

	private static final List<String> HELP = List.of("--help", "-h", "help");

	private final List<CommandEntry<?>> entries;

	private final PrintStream out;

	private final PrintStream err;

	CommandLine(List<CommandEntry<?>> entries, PrintStream out, PrintStream err) {
		this.entries = List.copyOf(entries);
		this.out = out;
		this.err = err;
	}

	int run(String[] args) {
		if (args.length == 0) {
			usage(this.err);
			return ExitCode.USAGE.code();
		}
		if (HELP.contains(args[0])) {
			usage(this.out);
			return ExitCode.OK.code();
		}
		for (CommandEntry<?> e : this.entries) {
			if (e.name().equals(args[0])) {
				return run(e, Arrays.copyOfRange(args, 1, args.length));
			}
		}
		this.err.println("There is no command \"" + args[0] + "\".");
		usage(this.err);
		return ExitCode.USAGE.code();
	}

	private <T> int run(CommandEntry<T> entry, String[] args) {
		T c = entry.options().get();
		CmdLineParser p = new CmdLineParser(c, ParserProperties.defaults().withUsageWidth(WIDTH));
		if (Arrays.asList(args).contains("--help")) {
			usage(entry, p, this.out);
			return ExitCode.OK.code();
		}
		try {
			p.parseArgument(args);
			return entry.action().run(c, this.out, this.err);
		}
		catch (CmdLineException ex) {
			this.err.println(ex.getMessage());
			usage(entry, p, this.err);
			return ExitCode.USAGE.code();
		}
		catch (ShallotspurException ex) {
			report(ex);
			return exitCode(ex).code();
		}
	}

	private void report(ShallotspurException ex) {
		String at = (ex.getLocation() != null) ? " (" + ex.getLocation() + ")" : "";
		this.err.println(ex.getCode() + at + ": " + ex.getMessage());
		for (Throwable t = ex.getCause(); t != null; t = t.getCause()) {
			this.err.println("  because: " + t);
		}
	}

	private static ExitCode exitCode(ShallotspurException ex) {
		if (ex instanceof SettingsException || ex instanceof InputException || ex instanceof ContractInvalidException) {
			return ExitCode.BAD_INPUT;
		}
		if (ex instanceof ContractConflictException) {
			return ExitCode.FAILED;
		}
		if (ex instanceof PeerException || ex instanceof StoreException) {
			return ExitCode.UNREACHABLE;
		}
		return ExitCode.FAILED;
	}

	private void usage(PrintStream s) {
		s.println("usage: shallotspur COMMAND [OPTIONS]    (COMMAND --help lists its options)");
		for (CommandEntry<?> e : this.entries) {
			s.printf("  %-16s %s%n", e.name(), e.summary());
		}
		s.println("exit status: 0 done, 1 failed, 2 usage, 3 bad input, 4 unreachable");
	}

	private static void usage(CommandEntry<?> entry, CmdLineParser p, PrintStream s) {
		s.println("usage: shallotspur " + entry.name() + " [OPTIONS]: " + entry.summary());
		p.printUsage(s);
	}

}
