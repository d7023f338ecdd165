package io.shallotspur.replay;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import io.shallotspur.contract.Contract;
import io.shallotspur.contract.io.ContractFile;
import io.shallotspur.exc.ShallotspurException;

/**
 * One trace with its fleet and contracts, ready to be replayed many times. Immutable and
 * thread-safe.
 *
 * @param name the name in tables and plots
 * @param fleet the fleet
 * @param contracts the contracts
 * @param trace the trace at load 1
 */
record SweepCase(String name, Fleet fleet, List<Contract> contracts, List<TraceLine> trace) {

	static SweepCase read(Path path) throws ShallotspurException {
		Fleet fleet = FleetFile.read(Path.of(path + ".fleet.toml"));
		List<Contract> contracts = ContractFile.read(Path.of(path + ".contracts.toml"));
		List<TraceLine> trace = TraceFile.read(Path.of(path + ".jsonl"), fleet);
		return new SweepCase(String.valueOf(path.getFileName()), fleet, contracts, trace);
	}

	SweepPoint replay(Policy policy, Schedulers schedulers, double load, int seeds) {
		List<ReplayReport> reports = new ArrayList<>();
		for (long seed = 1; seed <= seeds; seed++) {
			List<TraceLine> lines = LoadScaler.scale(this.trace, load, seed);
			reports.add(new Replay(this.fleet, this.contracts, lines, policy, schedulers, seed).run());
		}
		return new SweepPoint(reports, modelClasses());
	}

	double bound(double load, int seeds) {
		double sum = 0;
		for (long seed = 1; seed <= seeds; seed++) {
			sum += FluidBound.modelGoodput(this.fleet, this.contracts, LoadScaler.scale(this.trace, load, seed));
		}
		return sum / seeds;
	}

	private Set<String> modelClasses() {
		Set<String> models = this.fleet.upstreams()
			.stream()
			.filter(Fleet.UpstreamSpec::model)
			.map(Fleet.UpstreamSpec::name)
			.collect(Collectors.toSet());
		return this.contracts.stream()
			.flatMap((c) -> c.classes()
				.stream()
				.filter((k) -> models.contains(k.upstream()))
				.map((k) -> c.customer() + "/" + k.name()))
			.collect(Collectors.toSet());
	}

}
