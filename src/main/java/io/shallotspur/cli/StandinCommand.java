package io.shallotspur.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

import org.kohsuke.args4j.Option;

import io.shallotspur.cfg.Endpoint;
import io.shallotspur.cfg.StandinSettings;
import io.shallotspur.cfg.StandinSettingsReader;
import io.shallotspur.cfg.UpstreamSection;
import io.shallotspur.cfg.WorkerSpeeds;
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
		startPlatform(s, out);
		for (UpstreamSection u : s.upstreams()) {
			startWorkers(u, s.speeds(), out);
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
		Map<String, List<Worker>> byAddress = new HashMap<>();
		for (Worker w : u.workers()) {
			byAddress.computeIfAbsent(w.address(), (a) -> new ArrayList<>()).add(w);
		}
		byAddress.forEach((address, workers) -> {
			Endpoint e = Endpoint.parse(address).orElseThrow();
			String bound = u.model() ? startEngine(e, u, workers, speeds) : startPlain(e, workers.get(0), speeds);
			out.println(workers.stream().map(Worker::id).toList() + " " + bound);
		});
	}

	private static String startEngine(Endpoint e, UpstreamSection u, List<Worker> workers, List<WorkerSpeeds> speeds) {
		WorkerSpeeds p = new WorkerSpeeds("", 0, 0, 0, 0);
		WorkerSpeeds d = p;
		for (Worker w : workers) {
			WorkerSpeeds x = find(speeds, w);
			p = (x.prefillMsPerToken() > 0) ? x : p;
			d = (x.stepBaseMs() > 0) ? x : d;
		}
		EngineStandinSettings s = EngineStandinSettings.small(workers)
			.withListen(e.host(), e.port())
			.withSpeeds(p.prefillMsPerToken(), d.stepBaseMs(), d.stepMsPerRequest())
			.withCheckFencing(u.checksFencing());
		return String.valueOf(new EngineStandin(s).start().block());
	}

	private static String startPlain(Endpoint e, Worker w, List<WorkerSpeeds> speeds) {
		PlainStandin p = new PlainStandin(w.id(), find(speeds, w).serviceMs());
		return String.valueOf(p.start(e.host(), e.port()).block());
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
