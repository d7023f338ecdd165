package io.shallotspur.cli;

import java.io.PrintStream;

/**
 * Prints the version of the program.
 */
final class VersionCommand implements Command {

	@Override
	public int run(PrintStream out, PrintStream err) {
		String v = Main.class.getPackage().getImplementationVersion();
		out.println("shallotspur " + ((v != null) ? v : "development"));
		return ExitCode.OK.code();
	}

}
