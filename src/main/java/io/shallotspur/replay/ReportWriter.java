package io.shallotspur.replay;

import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Prints reports. Stateless and thread-safe.
 */
final class ReportWriter {

	private static final ObjectMapper MAPPER = JsonMapper.builder().build();

	private static final double ROUND = 1e6;

	private ReportWriter() {
	}

	/**
	 * Prints one JSON object on one line.
	 * @param report the report
	 * @param out where to
	 */
	static void writeJson(ReplayReport report, PrintStream out) {
		ObjectNode root = MAPPER.createObjectNode();
		root.put("policy", report.policy().code());
		putCounts(root, report.total());
		ObjectNode classes = root.putObject("by_class");
		for (Map.Entry<String, Tally> e : report.byClass().entrySet()) {
			ObjectNode n = classes.putObject(e.getKey());
			putCounts(n, e.getValue());
			putQuantiles(n.putObject("ttft_ms"), e.getValue().ttft());
			putQuantiles(n.putObject("tbt_ms"), e.getValue().tbt());
		}
		try {
			out.println(MAPPER.writeValueAsString(root));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("A tree of numbers is always JSON", ex);
		}
	}

	/**
	 * Prints a table for people.
	 * @param report the report
	 * @param out where to
	 */
	static void writeTable(ReplayReport report, PrintStream out) {
		Tally t = report.total();
		out.println("policy                 " + report.policy().code());
		row(out, "requests", t.requests());
		row(out, "cancelled", t.cancelled());
		row(out, "completed", t.completed());
		row(out, "refused_not_run", t.refusedNotRun());
		row(out, "outcome_unknown", t.outcomeUnknown());
		row(out, "lost", t.lost());
		row(out, "duplicated", t.duplicated());
		out.printf(Locale.ROOT, "%-22s %.4f%n", "goodput_ratio", t.goodputRatio());
		row(out, "prefill_tokens", t.prefillTokens());
		row(out, "wasted_prefill_tokens", t.wastedPrefillTokens());
		row(out, "workers_crashed", t.workersCrashed());
		row(out, "held_after_gone", t.heldAfterGone());
		out.println();
		out.printf(Locale.ROOT, "%-40s %8s %8s %8s %8s %8s %8s %26s %26s%n", "customer/class", "requests", "goodput",
				"refused", "unknown", "lost", "wasted", "ttft p50/p95/p99 ms", "tbt p50/p95/p99 ms");
		for (Map.Entry<String, Tally> e : report.byClass().entrySet()) {
			Tally c = e.getValue();
			out.printf(Locale.ROOT, "%-40s %8d %8.4f %8d %8d %8d %8d %26s %26s%n", e.getKey(), c.requests(),
					c.goodputRatio(), c.refusedNotRun(), c.outcomeUnknown(), c.lost(), c.wastedPrefillTokens(),
					text(c.ttft()), text(c.tbt()));
		}
	}

	private static void row(PrintStream out, String name, long value) {
		out.printf(Locale.ROOT, "%-22s %d%n", name, value);
	}

	private static String text(Tally.Quantiles q) {
		return String.format(Locale.ROOT, "%.1f/%.1f/%.1f", q.p50(), q.p95(), q.p99());
	}

	private static void putCounts(ObjectNode n, Tally t) {
		n.put("requests", t.requests());
		n.put("cancelled", t.cancelled());
		n.put("completed", t.completed());
		n.put("refused_not_run", t.refusedNotRun());
		n.put("outcome_unknown", t.outcomeUnknown());
		n.put("lost", t.lost());
		n.put("duplicated", t.duplicated());
		n.put("goodput_ratio", Math.round(t.goodputRatio() * ROUND) / ROUND);
		n.put("prefill_tokens", t.prefillTokens());
		n.put("wasted_prefill_tokens", t.wastedPrefillTokens());
		n.put("workers_crashed", t.workersCrashed());
		n.put("held_after_gone", t.heldAfterGone());
	}

	private static void putQuantiles(ObjectNode n, Tally.Quantiles q) {
		n.put("p50", q.p50());
		n.put("p95", q.p95());
		n.put("p99", q.p99());
	}

}
