package io.shallotspur.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

import io.shallotspur.ledger.LedgerLimits;
import io.shallotspur.node.ledger.LedgerSettings;

/**
 * Measures the ledger against the request rate, and what bounds retries and crashing
 * requests, each without and with the mechanism. Stateless. All in virtual time and
 * seeded: the same options give the same figures, but for processor times.
 */
public final class LedgerMeasure {

	private static final int[] RATES = { 1, 10, 100, 1_000, 5_000 };

	private static final String ROW = "| %d | %s | %.1f | %.1f | %.0f | %d | %d | %d | %.1f %% | %d | %s |%n";

	private static final int WARM_RATE = 1_000;

	private static final int WINDOW_SECONDS = 60;

	private static final long WINDOW_MS = 10_000;

	/**
	 * Runs all measurements and writes the page of results.
	 * @param options how long, with which seed, and where to
	 * @param out takes the same text as the page
	 * @param err takes what went wrong
	 * @return 0, or 1 if the page could not be written
	 */
	public int run(LedgerMeasureOptions options, PrintStream out, PrintStream err) {
		StringBuilder page = new StringBuilder();
		ledger(options, page);
		window(options, page);
		failures(options, page);
		out.print(page);
		Path file = options.getOut().resolve("ledger.md");
		try {
			Files.createDirectories(options.getOut());
			Files.writeString(file, page);
			return 0;
		}
		catch (IOException ex) {
			err.println("Cannot write " + file + ": " + ex);
			return 1;
		}
	}

	private static void ledger(LedgerMeasureOptions o, StringBuilder page) {
		page.append("# Ledger, retries, crashing requests\n\n")
			.append("Made by `shallotspur measure-ledger --seconds ")
			.append(o.getSeconds())
			.append(" --seed ")
			.append(o.getSeed())
			.append("`. Virtual time: eight ledgers, 1 ms from node to node, a store that answers in 3 ms\n")
			.append("and takes 600 writes a second, requests evenly spaced, each with a key of its own, run for 20 ms,\n")
			.append("answered with 64 bytes, deadline 2 s. The real ledger, peer codec and record codec run.\n")
			.append("\"Off\" writes one intent or one end a time as fast as the store takes them; \"on\" is the default:\n")
			.append("32 shards, 100 ms between writes of a shard, so at most 320 writes a second.\n")
			.append("Added latency: from the call to the leave to run. Time: of the whole run on one busy core\n")
			.append("for each request, all nodes and the store's stand-in included; only a hint, and none at low rates,\n")
			.append("where compiling outweighs the rest.\n\n")
			.append("## Writes and added latency against the request rate\n\n")
			.append("| requests/s | group commit | writes/s | reads/s | KB/s written | largest record, bytes ")
			.append("| p50 ms | p99 ms | refused, not run | told nothing | µs/request |\n")
			.append("|---|---|---|---|---|---|---|---|---|---|---|\n");
		LedgerSettings off = LedgerSettings.DEFAULT.withLimits(LedgerLimits.DEFAULT.withBatch(0, 1)).withEndDelay(0);
		for (int rate : RATES) {
			row(page, "off", new LedgerLoad(off, o.getSeed()).run(rate, o.getSeconds()));
			row(page, "on", new LedgerLoad(LedgerSettings.DEFAULT, o.getSeed()).run(rate, o.getSeconds()));
		}
	}

	private static void window(LedgerMeasureOptions o, StringBuilder page) {
		LedgerLimits limits = LedgerLimits.DEFAULT.withSegments(LedgerLimits.DEFAULT.sealThresholdBytes(),
				LedgerLimits.DEFAULT.timedSlots(), WINDOW_MS);
		LedgerLoad load = new LedgerLoad(LedgerSettings.DEFAULT.withLimits(limits), o.getSeed());
		LedgerLoad.Result r = load.run(WARM_RATE, WINDOW_SECONDS);
		page.append("\n## Keys come and go\n\n")
			.append(String.format(Locale.ROOT,
					"%d requests/s for %d s with a window of %d s: %d keys granted, %.1f %% refused, largest record %d bytes.%n",
					WARM_RATE, WINDOW_SECONDS, WINDOW_MS / 1_000, load.granted(), r.refused() * 100, r.largest()));
	}

	private static void row(StringBuilder page, String mode, LedgerLoad.Result r) {
		page.append(String.format(Locale.ROOT, ROW, r.rate(), mode, r.writes(), r.reads(), r.bytes() / 1_000,
				r.largest(), r.p50(), r.p99(), r.refused() * 100, r.silent(),
				(r.rate() < WARM_RATE) ? "-" : String.format(Locale.ROOT, "%.0f", r.cpuUs())));
	}

	private static void failures(LedgerMeasureOptions o, StringBuilder page) {
		FailureLoad.Retries before = new FailureLoad(o.getSeed()).retries(false);
		FailureLoad.Retries after = new FailureLoad(o.getSeed()).retries(true);
		page.append("\n## Retries while three of nine workers fail each call\n\n")
			.append("50,000 first tries, 200 a second, at most ten tries each.\n\n")
			.append("| | calls sent per first try | not answered |\n|---|---|---|\n")
			.append(String.format(Locale.ROOT, "| before: retry until answered | %.3f | %.2f %% |%n",
					before.amplification(), before.failed() * 100))
			.append(String.format(Locale.ROOT, "| after: budget and outlier detection | %.3f | %.2f %% |%n",
					after.amplification(), after.failed() * 100));
		FailureLoad.Poison none = new FailureLoad(o.getSeed()).poison(false);
		FailureLoad.Poison kept = new FailureLoad(o.getSeed()).poison(true);
		page.append("\n## Workers lost per request that crashes its worker\n\n")
			.append("1,000 such requests, each sent ten times through eight nodes at random, 19 neighbours on each\n")
			.append("worker that complete later; a worker is back after 5 s; nodes tell each other at once.\n\n")
			.append("| | workers lost, mean | most | neighbours quarantined |\n|---|---|---|---|\n")
			.append(String.format(Locale.ROOT, "| before: no quarantine | %.2f | %d | %d |%n", none.mean(), none.most(),
					none.wronglyRefused()))
			.append(String.format(Locale.ROOT, "| after | %.2f | %d | %d |%n", kept.mean(), kept.most(),
					kept.wronglyRefused()));
	}

}
