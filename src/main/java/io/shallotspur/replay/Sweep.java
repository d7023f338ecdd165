package io.shallotspur.replay;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.shallotspur.cell.CellFeature;
import io.shallotspur.cell.CellSettings;
import io.shallotspur.exc.InputException;
import io.shallotspur.exc.ShallotspurException;
import io.shallotspur.util.plot.LinePlot;

/**
 * Measures the policies on traces: at load 1, over a sweep of loads, and with each
 * mechanism of the scheduler switched off alone. Writes {@code routing.md} and its plots.
 * Not thread-safe; used once.
 */
public final class Sweep {

	private final SweepOptions options;

	private final PrintStream progress;

	private final StringBuilder page = new StringBuilder();

	/**
	 * Creates a measurement.
	 * @param options what to measure
	 * @param progress receives a line for each case
	 */
	public Sweep(SweepOptions options, PrintStream progress) {
		this.options = options;
		this.progress = progress;
	}

	/**
	 * Measures and writes the page.
	 * @throws ShallotspurException if an input cannot be read or the page cannot be
	 * written
	 */
	public void run() throws ShallotspurException {
		List<Double> loads = loads();
		List<SweepCase> cases = new ArrayList<>();
		for (Path p : this.options.getCases()) {
			cases.add(SweepCase.read(p));
		}
		try {
			Files.createDirectories(this.options.getOut());
			head();
			for (SweepCase c : cases) {
				this.progress.println("[measure] " + c.name());
				sweepLoads(c, loads);
				switchOff(c);
			}
			Files.writeString(this.options.getOut().resolve("routing.md"), this.page);
		}
		catch (IOException ex) {
			throw new InputException("The page cannot be written: " + ex, this.options.getOut().toString(), ex);
		}
	}

	private void head() {
		line("# Routing: goodput and wasted prefill");
		line("");
		line("Written by `measure-routing`; do not edit. Means of " + this.options.getSeeds()
				+ " seeds. *model goodput*"
				+ " is the goodput ratio of the classes that a model serves, *all goodput* the `goodput_ratio`"
				+ " of the report, which the many light calls lead, *plain, worst* the ratio of the worst class"
				+ " of plain calls in any seed. *bound* is an upper bound on model goodput that no policy can beat:"
				+ " work flows like a fluid, all preambles are cached, decode batches are full and the future is"
				+ " known.");
		line("");
	}

	private void sweepLoads(SweepCase c, List<Double> loads) throws IOException {
		Map<String, Map<Double, Double>> goodput = new LinkedHashMap<>();
		Map<String, Map<Double, Double>> wasted = new LinkedHashMap<>();
		line("## " + c.name());
		line("");
		line("| load | policy | model goodput | worst seed | all goodput | plain, worst | wasted prefill | not run"
				+ " | unknown | lost | duplicated | held | crashed | leave violations | bound |");
		line("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
		for (double load : loads) {
			double bound = c.bound(load, this.options.getSeeds());
			goodput.computeIfAbsent("bound", (k) -> new LinkedHashMap<>()).put(load, bound);
			for (Map.Entry<Policy, SweepPoint> e : replayAll(c, load).entrySet()) {
				String name = e.getKey().code();
				SweepPoint p = e.getValue();
				goodput.computeIfAbsent(name, (k) -> new LinkedHashMap<>()).put(load, p.modelGoodput());
				wasted.computeIfAbsent(name, (k) -> new LinkedHashMap<>()).put(load, p.wasted());
				line("| " + load + " | " + name + " | " + row(p) + " | " + ratio(bound) + " |");
			}
		}
		line("");
		plot(c, "goodput", "model goodput", goodput);
		plot(c, "wasted", "wasted part of prefill", wasted);
	}

	private Map<Policy, SweepPoint> replayAll(SweepCase c, double load) {
		Map<Policy, SweepPoint> points = new EnumMap<>(Policy.class);
		for (Policy p : Policy.values()) {
			Schedulers s = (p != Policy.SHALLOTSPUR) ? Schedulers.baseline(p)
					: new ProductSchedulers(CellSettings.defaults());
			points.put(p, c.replay(p, s, load, this.options.getSeeds()));
		}
		return points;
	}

	private void switchOff(SweepCase c) {
		line("One mechanism switched off, load 1 and 2:");
		line("");
		line("| load | off | model goodput | worst seed | all goodput | plain, worst | wasted prefill | not run"
				+ " | unknown | lost | duplicated | held | crashed | leave violations |");
		line("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
		for (double load : List.of(1.0, 2.0)) {
			off(c, load, "(none)", CellSettings.defaults());
			for (CellFeature f : CellFeature.values()) {
				off(c, load, f.name().toLowerCase(Locale.ROOT), CellSettings.defaults().without(f));
			}
		}
		line("");
	}

	private void off(SweepCase c, double load, String name, CellSettings settings) {
		SweepPoint p = c.replay(Policy.SHALLOTSPUR, new ProductSchedulers(settings), load, this.options.getSeeds());
		line("| " + load + " | " + name + " | " + row(p) + " |");
	}

	private void plot(SweepCase c, String what, String axis, Map<String, Map<Double, Double>> lines)
			throws IOException {
		String file = "routing-" + c.name() + "-" + what + ".svg";
		String svg = new LinePlot(c.name(), "load", axis, lines).toSvg(c.name() + "-" + what + "-");
		Files.writeString(this.options.getOut().resolve(file), svg);
		line("![" + axis + " of " + c.name() + "](" + file + ")");
		line("");
	}

	private List<Double> loads() throws InputException {
		List<Double> l = new ArrayList<>();
		try {
			for (String s : this.options.getLoads().split(",")) {
				l.add(Double.valueOf(s.strip()));
			}
		}
		catch (NumberFormatException ex) {
			throw new InputException("is \"" + this.options.getLoads() + "\"; allowed: numbers with commas", "--loads",
					ex);
		}
		return l;
	}

	private static String row(SweepPoint p) {
		return ratio(p.modelGoodput()) + " | " + ratio(p.leastModelGoodput()) + " | " + ratio(p.goodput()) + " | "
				+ ratio(p.leastPlainGoodput()) + " | " + ratio(p.wasted()) + " | " + p.sum(Tally::refusedNotRun) + " | "
				+ p.sum(Tally::outcomeUnknown) + " | " + p.sum(Tally::lost) + " | " + p.sum(Tally::duplicated) + " | "
				+ p.sum(Tally::heldAfterGone) + " | " + p.sum(Tally::workersCrashed) + " | " + p.leaveViolations();
	}

	private static String ratio(double d) {
		return String.format(Locale.ROOT, "%.3f", d);
	}

	private void line(String s) {
		this.page.append(s).append('\n');
	}

}
