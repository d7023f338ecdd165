package io.shallotspur.replay;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import io.shallotspur.contract.Contract;
import io.shallotspur.contract.io.ContractFile;

import static org.assertj.core.api.Assertions.assertThat;

class SweepTests {

	private static final Path DIR = Path.of("src/test/resources/replay");

	@Test
	void theBoundIsOneWhereAllFits() throws Exception {
		assertThat(bound(requests(2, 40))).isEqualTo(1);
	}

	@Test
	void theBoundCountsWhatTheDecodeWorkersCannotCarry() throws Exception {
		// Four slots give 4 tokens in 31 ms. 20 answers of 200 tokens at one instant must
		// all be there after 2 s and 200 steps of 31 ms, which is time for 1057 tokens.
		assertThat(bound(requests(20, 200))).isEqualTo(0.25);
	}

	@Test
	void noPolicyBeatsTheBound() throws Exception {
		Fleet fleet = FleetFile.read(DIR.resolve("small.fleet.toml"));
		List<Contract> contracts = ContractFile.read(DIR.resolve("small.contracts.toml"));
		List<TraceLine> trace = TraceFile.read(DIR.resolve("burst.jsonl"), fleet);
		SweepCase c = new SweepCase("burst", fleet, contracts, trace);
		for (Policy p : Policy.values()) {
			Schedulers s = (p != Policy.SHALLOTSPUR) ? Schedulers.baseline(p) : ProductSchedulers.without(List.of());
			assertThat(c.replay(p, s, 1, 2).modelGoodput()).as(p.code()).isLessThanOrEqualTo(c.bound(1, 2));
		}
	}

	@Test
	void writesThePageAndItsPlots(@TempDir Path out) throws Exception {
		Path path = out.resolve("small");
		Files.copy(DIR.resolve("small.fleet.toml"), Path.of(path + ".fleet.toml"));
		Files.copy(DIR.resolve("small.contracts.toml"), Path.of(path + ".contracts.toml"));
		Files.copy(DIR.resolve("burst.jsonl"), Path.of(path + ".jsonl"));
		SweepOptions options = new SweepOptions();
		options.setCases(List.of(path));
		options.setLoads("0.5, 1");
		options.setSeeds(1);
		options.setOut(out);
		new Sweep(options, new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8)).run();
		assertThat(out.resolve("routing.md")).content().contains("| 1.0 | shallotspur |", "| 2.0 | reservation |");
		assertThat(out.resolve("routing-small-goodput.svg")).content().startsWith("<?xml");
	}

	private static double bound(List<TraceLine> trace) throws Exception {
		return FluidBound.modelGoodput(FleetFile.read(DIR.resolve("small.fleet.toml")),
				ContractFile.read(DIR.resolve("small.contracts.toml")), trace);
	}

	private static List<TraceLine> requests(int count, int output) {
		List<TraceLine> l = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			l.add(new TraceLine.Request(0, "r" + i, "acme", "summary", new TraceLine.Tokens(null, 100, output), null,
					null));
		}
		return l;
	}

}
