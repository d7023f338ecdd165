package io.shallotspur.cli;

import java.io.PrintStream;
import java.nio.file.Path;

import org.kohsuke.args4j.Option;

import io.shallotspur.adapter.store.HttpKvStore;
import io.shallotspur.cfg.PlatformSection;
import io.shallotspur.cfg.SettingsReader;
import io.shallotspur.exc.ShallotspurException;
import io.shallotspur.report.ReportCommand;
import io.shallotspur.report.ReportOptions;

/**
 * Says whether the terms of a customer were kept.
 */
final class ReportEntry extends ReportOptions implements Command {

	@Option(name = "--settings", required = true, metaVar = "FILE",
			usage = "settings of an entry VM; says where the record is kept")
	private Path settings = Path.of("");

	@Override
	public int run(PrintStream out, PrintStream err) throws ShallotspurException {
		PlatformSection p = SettingsReader.read(this.settings).platform();
		new ReportCommand(new HttpKvStore("http://" + p.store(), p.timeoutMs())).run(this, out);
		return ExitCode.OK.code();
	}

}
