package io.shallotspur.cli;

import java.io.PrintStream;

import io.shallotspur.exc.ShallotspurException;

/**
 * One command of the program: an args4j bean whose options are set before it is run. An
 * instance is run once.
 */
public interface Command {

	/**
	 * Runs the command.
	 * @param out receives the result
	 * @param err receives progress and complaints
	 * @return the exit status of the process
	 * @throws ShallotspurException if the command could not be carried out
	 */
	int run(PrintStream out, PrintStream err) throws ShallotspurException;

}
