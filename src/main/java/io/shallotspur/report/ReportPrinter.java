package io.shallotspur.report;

import java.io.PrintStream;
import java.util.Locale;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.shallotspur.record.Verdict;

/**
 * Prints reports as a table or as JSON. Stateless and thread-safe.
 */
final class ReportPrinter {

	private static final ObjectMapper MAPPER = JsonMapper.builder().build();

	private ReportPrinter() {
	}

	static void printTable(TermsReport r, PrintStream out) {
		out.printf(Locale.ROOT, "%s, %s to %s: %s%n", r.customer(), r.from(), r.to(), summary(r));
		if (!r.isComplete()) {
			out.printf(Locale.ROOT, "incomplete: %d requests of all customers not recorded, %d values unreadable%n",
					r.unrecorded(), r.unreadable());
		}
		out.printf(Locale.ROOT, "%-28s %6s %8s %9s %8s %8s %8s %9s %26s %26s%n", "class", "kept", "ratio", "met",
				"missed", "refused", "unknown", "cancelled", "ttft p50/p95/p99 ms", "tbt p50/p95/p99 ms");
		for (ClassTerms c : r.classes()) {
			out.printf(Locale.ROOT, "%-28s %6s %8.4f %9d %8d %8d %8d %9d %26s %26s%n", c.name(),
					c.isKept() ? "yes" : "NO", c.total().metRatio(), c.count(Verdict.MET), c.count(Verdict.MISSED),
					c.count(Verdict.REFUSED), c.count(Verdict.UNKNOWN), c.count(Verdict.CANCELLED),
					text(c.ttftMs(50), c.ttftMs(95), c.ttftMs(99)), text(c.tbtMs(50), c.tbtMs(95), c.tbtMs(99)));
		}
	}

	static void printJson(TermsReport r, PrintStream out) {
		ObjectNode root = MAPPER.createObjectNode();
		root.put("customer", r.customer());
		root.put("from", r.from().toString());
		root.put("to", r.to().toString());
		root.put("kept", r.isKept());
		root.put("complete", r.isComplete());
		root.put("unrecorded", r.unrecorded());
		root.put("unreadable", r.unreadable());
		ObjectNode classes = root.putObject("by_class");
		r.classes().forEach((c) -> putClass(classes.putObject(c.name()), c));
		try {
			out.println(MAPPER.writeValueAsString(root));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("A tree of numbers is always JSON", ex);
		}
	}

	static String summary(TermsReport r) {
		if (r.classes().isEmpty()) {
			return "no requests";
		}
		return r.isKept() ? "terms kept" : "terms NOT kept";
	}

	static String text(double p50, double p95, double p99) {
		return String.format(Locale.ROOT, "%.1f/%.1f/%.1f", p50, p95, p99);
	}

	private static void putClass(ObjectNode n, ClassTerms c) {
		n.put("kept", c.isKept());
		n.put("met_ratio", c.total().metRatio());
		for (Verdict v : Verdict.values()) {
			n.put(v.name().toLowerCase(Locale.ROOT), c.count(v));
		}
		n.put("prefill_tokens", c.total().prefillTokens());
		n.put("wasted_prefill_tokens", c.total().wastedPrefillTokens());
		putQuantiles(n.putObject("ttft_ms"), c.ttftMs(50), c.ttftMs(95), c.ttftMs(99));
		putQuantiles(n.putObject("tbt_ms"), c.tbtMs(50), c.tbtMs(95), c.tbtMs(99));
	}

	private static void putQuantiles(ObjectNode n, double p50, double p95, double p99) {
		n.put("p50", p50);
		n.put("p95", p95);
		n.put("p99", p99);
	}

}
