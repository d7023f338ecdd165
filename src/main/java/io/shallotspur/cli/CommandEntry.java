package io.shallotspur.cli;

import java.io.PrintStream;
import java.util.function.Supplier;

import io.shallotspur.exc.ShallotspurException;

/**
 * A command as the help lists it. Immutable.
 *
 * @param name what the user types
 * @param summary one line of help
 * @param options makes the bean that args4j fills
 * @param action runs the command with the filled bean
 * @param <T> the type of the bean
 */
record CommandEntry<T>(String name, String summary, Supplier<T> options, Action<T> action) {

	static CommandEntry<Command> of(String name, String summary, Supplier<Command> command) {
		return new CommandEntry<>(name, summary, command, Command::run);
	}

	/**
	 * What a command does.
	 *
	 * @param <T> the type of its options
	 */
	@FunctionalInterface
	interface Action<T> {

		int run(T options, PrintStream out, PrintStream err) throws ShallotspurException;

	}

}
