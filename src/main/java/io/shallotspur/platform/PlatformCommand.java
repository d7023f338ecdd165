package io.shallotspur.platform;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

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
		CountDownLatch terminate = new CountDownLatch(1);
		long startedAt = System.nanoTime();
		Signals.onTerminate(() -> {
			Logger.info("[run] told to stop after-ms={}", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt));
			terminate.countDown();
		});
		Signals.on("HUP", () -> Logger.info("[run] settings changed; they take effect at the next start"));
		PlatformVm vm = new PlatformVm(s);
		vm.start();
		try {
			terminate.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		vm.drain();
		return ExitCode.OK.code();
	}

}
