package io.shallotspur.platform;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;

import org.kohsuke.args4j.Option;
import org.tinylog.Logger;

import io.shallotspur.cli.Command;
import io.shallotspur.cli.ExitCode;
import io.shallotspur.cli.Signals;
import io.shallotspur.exc.ShallotspurException;
import io.shallotspur.util.log.LogSetup;

/**
 * Runs an entry VM on the users' platform until it is terminated. SIGTERM and SIGINT
 * drain it. SIGHUP is only logged, because settings are read at startup.
 */
public final class PlatformCommand implements Command {

	private static final String SETTINGS_VARIABLE = "SHALLOTSPUR_BOOT";

	@Option(name = "--settings", metaVar = "FILE",
			usage = "settings file (TOML); by default the file named by SHALLOTSPUR_BOOT,"
					+ " or settings.toml if the variable is not set")
	private Path settings = Path.of(System.getenv().getOrDefault(SETTINGS_VARIABLE, "settings.toml"));

	@Option(name = "--rehearse", usage = "run a training start on loopback and exit, to create a class data archive")
	private boolean rehearse;

	@Override
	public int run(PrintStream out, PrintStream err) throws ShallotspurException {
		if (this.rehearse) {
			TrainingRun.run();
			return ExitCode.OK.code();
		}
		PlatformSettings s = PlatformSettings.read(this.settings);
		LogSetup.toOutput(s.log().level());
		CompletableFuture<Long> toldToStop = new CompletableFuture<>();
		Signals.onTerminate(() -> toldToStop.complete(PlatformVm.nowMs()));
		Signals.on("HUP", () -> Logger.info("[run] settings changed; they take effect at the next start"));
		PlatformVm vm = new PlatformVm(s);
		vm.start();
		vm.drain(toldToStop.join());
		return ExitCode.OK.code();
	}

}
