package io.shallotspur.cli;

import java.io.PrintStream;

import io.shallotspur.replay.ReplayCommand;
import io.shallotspur.replay.ReplayOptions;

/**
 * Replays a trace in virtual time.
 */
final class ReplayEntry extends ReplayOptions implements Command {

	@Override
	public int run(PrintStream out, PrintStream err) {
		return new ReplayCommand().run(this, out, err);
	}

}
