package io.shallotspur.cli;

import java.io.PrintStream;

import io.shallotspur.exc.ShallotspurException;
import io.shallotspur.replay.Sweep;
import io.shallotspur.replay.SweepOptions;

/**
 * Measures the policies on traces and writes the page of results.
 */
final class MeasureRoutingEntry extends SweepOptions implements Command {

	@Override
	public int run(PrintStream out, PrintStream err) throws ShallotspurException {
		new Sweep(this, err).run();
		return ExitCode.OK.code();
	}

}
