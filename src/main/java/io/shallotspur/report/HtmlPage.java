package io.shallotspur.report;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

import io.shallotspur.record.ClassCounts;
import io.shallotspur.record.Recorder;
import io.shallotspur.record.Verdict;
import io.shallotspur.util.plot.LinePlot;

/**
 * Writes a report as one HTML page with its plots inside, to be shown to a customer.
 * Stateless and thread-safe.
 */
final class HtmlPage {

	private static final String STYLE = "body{font:16px/1.4 sans-serif;margin:2em auto;max-width:60em}"
			+ "table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.3em .6em;text-align:right}"
			+ "td:first-child{text-align:left}.no{background:#fdd}";

	private HtmlPage() {
	}

	static String write(TermsReport r) {
		StringBuilder b = new StringBuilder();
		String title = escape(r.customer()) + ": " + ReportPrinter.summary(r);
		b.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
			.append(title)
			.append("</title><style>")
			.append(STYLE)
			.append("</style></head><body>\n<h1>")
			.append(title)
			.append("</h1>\n<p>")
			.append(r.from())
			.append(" to ")
			.append(r.to())
			.append(". Terms are kept if ")
			.append(Math.round(ClassTerms.KEPT_RATIO * 100))
			.append(" in 100 requests whose caller stayed met all their targets.</p>\n");
		if (!r.isComplete()) {
			b.append("<p class=\"no\">The record is incomplete: ")
				.append(r.unrecorded())
				.append(" requests of all customers were not recorded, ")
				.append(r.unreadable())
				.append(" values could not be read.</p>\n");
		}
		table(b, r);
		b.append(plot(r, "Requests that met their targets", "part", "met", ClassCounts::metRatio));
		b.append(plot(r, "Time to the first token, p95", "ms", "ttft", (c) -> ClassTerms.quantile(c.ttft(), 95)));
		b.append(plot(r, "Time between tokens, p95", "ms", "tbt", (c) -> ClassTerms.quantile(c.tbt(), 95)));
		return b.append("</body></html>\n").toString();
	}

	private static void table(StringBuilder b, TermsReport r) {
		b.append("<table><tr><th>class</th><th>kept</th><th>ratio</th><th>met</th><th>missed</th><th>refused</th>"
				+ "<th>unknown</th><th>cancelled</th><th>TTFT p50/p95/p99 ms</th><th>TBT p50/p95/p99 ms</th></tr>\n");
		for (ClassTerms c : r.classes()) {
			b.append(c.isKept() ? "<tr>" : "<tr class=\"no\">");
			cell(b, escape(c.name()));
			cell(b, c.isKept() ? "yes" : "no");
			cell(b, String.format(Locale.ROOT, "%.4f", c.total().metRatio()));
			for (Verdict v : Verdict.values()) {
				cell(b, Long.toString(c.count(v)));
			}
			cell(b, ReportPrinter.text(c.ttftMs(50), c.ttftMs(95), c.ttftMs(99)));
			cell(b, ReportPrinter.text(c.tbtMs(50), c.tbtMs(95), c.tbtMs(99)));
			b.append("</tr>\n");
		}
		b.append("</table>\n");
	}

	private static String plot(TermsReport r, String title, String axis, String id,
			ToDoubleFunction<ClassCounts> value) {
		long from = Math.floorDiv(r.from().toEpochMilli(), Recorder.MINUTE_MS);
		long to = Math.floorDiv(r.to().toEpochMilli(), Recorder.MINUTE_MS);
		Map<String, Map<Double, Double>> lines = new TreeMap<>();
		for (ClassTerms c : r.classes()) {
			Map<Double, Double> points = new TreeMap<>();
			c.spans(from, to).forEach((at, counts) -> points.put(at, value.applyAsDouble(counts)));
			lines.put(c.name(), points);
		}
		return new LinePlot(title, "hours", axis, lines).toSvgElement(id + "-") + "\n";
	}

	private static void cell(StringBuilder b, String s) {
		b.append("<td>").append(s).append("</td>");
	}

	private static String escape(String s) {
		return s.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
	}

}
