package io.shallotspur.platform;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import org.kohsuke.args4j.Option;
import org.tinylog.Logger;

import io.shallotspur.cli.Command;
import io.shallotspur.cli.ExitCode;
import io.shallotspur.cli.Signals;
import io.shallotspur.exc.ShallotspurException;
import io.shallotspur.util.log.LogSetup;

/**
 * Runs an entry VM on the users' platform until it is told to leave. SIGTERM and SIGINT
 * drain it; SIGHUP is noted, as the settings that can change there are read at a start.
 */
public final class PlatformCommand implements Command {

	private static final String SETTINGS_VARIABLE = "SHALLOTSPUR_BOOT";

	@Option(name = "--settings", metaVar = "FILE",
			usage = "the settings, TOML; by default the file that the platform names")
	private Path settings = Path.of(System.getenv().getOrDefault(SETTINGS_VARIABLE, "settings.toml"));

	@Option(name = "--rehearse", usage = "go through a start on loopback and end, to make a class data archive")
	private boolean rehearse;

	@Override
	public int run(PrintStream out, PrintStream err) throws ShallotspurException {
		if (this.rehearse) {
			Rehearsal.run();
			return ExitCode.OK.code();
		}
		PlatformSettings s = PlatformSettings.read(this.settings);
		LogSetup.toOutput(s.log().level());
		CountDownLatch leave = new CountDownLatch(1);
		Signals.onTerminate(leave::countDown);
		Signals.on("HUP", () -> Logger.info("[run] settings changed; they hold from the next start on"));
		PlatformVm vm = new PlatformVm(s);
		vm.start();
		try {
			leave.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		vm.drain();
		return ExitCode.OK.code();
	}

}
