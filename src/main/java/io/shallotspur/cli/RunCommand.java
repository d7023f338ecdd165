package io.shallotspur.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import org.kohsuke.args4j.Option;
import org.tinylog.Logger;
import reactor.core.Exceptions;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import io.shallotspur.boot.BootedVm;
import io.shallotspur.boot.VmAssembly;
import io.shallotspur.cfg.Settings;
import io.shallotspur.cfg.SettingsReader;
import io.shallotspur.exc.PeerException;
import io.shallotspur.exc.ShallotspurException;
import io.shallotspur.util.log.LogSetup;

/**
 * Runs an entry VM until it is told to leave. The first SIGTERM or SIGINT, or a leaving
 * mark on the VM list, drains it: requests in progress finish. A second signal ends it at
 * once.
 */
final class RunCommand implements Command {

	private static final Duration LEAVING_POLL = Duration.ofMillis(200);

	@Option(name = "--settings", required = true, metaVar = "FILE", usage = "the settings of this entry VM, TOML")
	private Path settings = Path.of("");

	private final CountDownLatch leave = new CountDownLatch(1);

	private final AtomicInteger signals = new AtomicInteger();

	@Override
	public int run(PrintStream out, PrintStream err) throws ShallotspurException {
		Settings s = SettingsReader.read(this.settings);
		LogSetup.configure(s.log().level(), s.log().format().equals("json"));
		BootedVm b = new VmAssembly(s).build();
		Signals.onTerminate(this::signal);
		start(b, s, out);
		Flux.interval(LEAVING_POLL)
			.filter((i) -> b.cluster().isLeaving())
			.take(1)
			.subscribe((i) -> this.leave.countDown());
		awaitLeave();
		drain(b);
		return ExitCode.OK.code();
	}

	private static void start(BootedVm b, Settings s, PrintStream out) throws PeerException {
		try {
			String callers = b.vm().start().block();
			out.printf("callers %s%nadmin %s%npeers %s%nready%n", callers, s.admin().listen(), s.peers().listen());
		}
		catch (RuntimeException ex) {
			Throwable t = Exceptions.unwrap(ex);
			throw new PeerException("The entry VM cannot be started: " + t.getMessage(), s.node().id(), t);
		}
	}

	private static void drain(BootedVm b) {
		b.vm()
			.drain()
			.timeout(Duration.ofMillis(b.drainGraceMs()))
			.onErrorResume((ex) -> Mono
				.fromRunnable(() -> Logger.warn("[node] Requests are left after the grace time and are ended.")))
			.then(b.vm().close())
			.block();
		Logger.info("[node] The entry VM has left.");
	}

	private void signal() {
		if (this.signals.incrementAndGet() > 1) {
			Runtime.getRuntime().halt(ExitCode.FAILED.code());
		}
		this.leave.countDown();
	}

	private void awaitLeave() {
		try {
			this.leave.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
