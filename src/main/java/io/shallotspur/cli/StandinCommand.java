package io.shallotspur.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.ToDoubleFunction;

import org.kohsuke.args4j.Option;
import reactor.core.Exceptions;

import io.shallotspur.cfg.Endpoint;
import io.shallotspur.cfg.StandinSettings;
import io.shallotspur.cfg.StandinSettingsReader;
import io.shallotspur.cfg.UpstreamSection;
import io.shallotspur.cfg.WorkerSpeeds;
import io.shallotspur.exc.PeerException;
import io.shallotspur.exc.ShallotspurException;
import io.shallotspur.fleet.Worker;
import io.shallotspur.standin.EngineStandin;
import io.shallotspur.standin.EngineStandinSettings;
import io.shallotspur.standin.PlainStandin;
import io.shallotspur.standin.store.StoreStandin;
import io.shallotspur.standin.store.VmListStandin;
import io.shallotspur.standin.store.WeightStandin;

/**
 * Runs stand-ins for the platform and the engines as a process of their own, until it is
 * told to end. Prints one line for each stand-in that listens.
 */
final class StandinCommand implements Command {

	@Option(name = "--settings", required = true, metaVar = "FILE", usage = "which stand-ins to run, TOML")
	private Path settings = Path.of("");

	@Override
	public int run(PrintStream out, PrintStream err) throws ShallotspurException {
		StandinSettings s = StandinSettingsReader.read(this.settings);
		try {
			startPlatform(s, out);
			for (UpstreamSection u : s.upstreams()) {
				startWorkers(u, s.speeds(), out);
			}
		}
		catch (RuntimeException ex) {
			Throwable t = Exceptions.unwrap(ex);
			throw new PeerException("A stand-in cannot listen: " + t.getMessage(), this.settings.toString(), t);
		}
		out.println("ready");
		awaitEnd();
		return ExitCode.OK.code();
	}

	private static void startPlatform(StandinSettings s, PrintStream out) {
		Endpoint store = s.store();
		if (store != null) {
			out.println("store " + new StoreStandin(System::currentTimeMillis).start(store.host(), store.port()));
		}
		Endpoint list = s.vmList();
		if (list != null) {
			VmListStandin l = new VmListStandin();
			l.set(s.vms());
			out.println("vm_list " + l.start(list.host(), list.port()));
		}
		Endpoint weights = s.weightStore();
		if (weights != null) {
			out.println("weight_store " + new WeightStandin().start(weights.host(), weights.port()));
		}
	}

	private static void startWorkers(UpstreamSection u, List<WorkerSpeeds> speeds, PrintStream out) {
		if (u.model()) {
			startEngines(u, speeds, out);
			return;
		}
		for (Worker w : u.workers()) {
			Endpoint e = endpoint(w);
			PlainStandin p = new PlainStandin(w.id(), find(speeds, w).serviceMs());
			out.println(w.id() + " " + p.start(e.host(), e.port()).block());
		}
	}

	private static void startEngines(UpstreamSection u, List<WorkerSpeeds> speeds, PrintStream out) {
		List<WorkerSpeeds> own = u.workers().stream().map((w) -> find(speeds, w)).toList();
		EngineStandinSettings s = EngineStandinSettings.small(u.workers())
			.withListen(endpoint(u.workers().get(0)).host(), 0)
			.withSpeeds(most(own, WorkerSpeeds::prefillMsPerToken), most(own, WorkerSpeeds::stepBaseMs),
					most(own, WorkerSpeeds::stepMsPerRequest))
			.withCheckFencing(u.checksFencing());
		EngineStandin engines = new EngineStandin(s);
		engines.start().block();
		for (Worker w : u.workers()) {
			Endpoint e = endpoint(w);
			out.println(w.id() + " " + engines.listen(e.host(), e.port()).block());
		}
	}

	private static double most(List<WorkerSpeeds> speeds, ToDoubleFunction<WorkerSpeeds> value) {
		return speeds.stream().mapToDouble(value).max().orElse(0);
	}

	private static Endpoint endpoint(Worker w) {
		return Endpoint.parse(w.address()).orElseThrow();
	}

	private static WorkerSpeeds find(List<WorkerSpeeds> speeds, Worker w) {
		return speeds.stream().filter((x) -> x.worker().equals(w.id())).findFirst().orElseThrow();
	}

	private static void awaitEnd() {
		CountDownLatch end = new CountDownLatch(1);
		Signals.onTerminate(end::countDown);
		try {
			end.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
