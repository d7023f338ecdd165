package io.shallotspur.cli;

import java.io.PrintStream;
import java.nio.file.Path;

import org.kohsuke.args4j.Option;

import io.shallotspur.cfg.Settings;
import io.shallotspur.cfg.SettingsReader;
import io.shallotspur.exc.ShallotspurException;

/**
 * Checks a settings file and starts nothing.
 */
final class CheckCommand implements Command {

	@Option(name = "--settings", required = true, metaVar = "FILE", usage = "the settings file of an entry VM")
	private Path settings = Path.of("");

	@Override
	public int run(PrintStream out, PrintStream err) throws ShallotspurException {
		Settings s = SettingsReader.read(this.settings);
		int workers = s.upstreams().stream().mapToInt((u) -> u.workers().size()).sum();
		out.printf("%s: good (entry VM %s in %s, %d upstreams, %d workers)%n", this.settings, s.node().id(),
				s.node().hall(), s.upstreams().size(), workers);
		return ExitCode.OK.code();
	}

}
