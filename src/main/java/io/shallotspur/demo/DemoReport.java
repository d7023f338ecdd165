package io.shallotspur.demo;

import java.io.PrintStream;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;

/**
 * The result of the demonstration. Immutable.
 *
 * @param seconds how long traffic was sent
 * @param rows the classes
 * @param heldForGone requests that still hold engine memory at the end
 * @param openRequests requests that the entry VMs still count at the end
 */
record DemoReport(int seconds, List<DemoRow> rows, int heldForGone, int openRequests) {

	private static final String LINE = "%-17s %-20s %6s %6s %5s %8s %8s %5s %6s %4s  %-17s %-14s%n";

	/**
	 * Returns whether a promise to the operators was broken.
	 * @return whether one was
	 */
	boolean broken() {
		return this.heldForGone > 0 || this.openRequests > 0 || this.rows.stream().anyMatch(DemoRow::broken);
	}

	void print(PrintStream out, boolean json) {
		if (json) {
			printJson(out);
		}
		else {
			printTable(out);
		}
	}

	private void printTable(PrintStream out) {
		out.printf(LINE, "customer", "class", "sent", "met", "left", "refused", "unknown", "lost", "wrong", "dup",
				"ttft p50/95/99 ms", "tbt p50/95/99 ms");
		for (DemoRow r : this.rows) {
			out.printf(LINE, r.customer(), r.className(), r.sent(), r.met(), r.left(), r.refused(), r.unknown(),
					r.lost(), r.wrong(), r.duplicated(), join(r.ttftMs()), join(r.tbtMs()));
		}
		out.printf("held for gone callers: %d%n", this.heldForGone);
		out.println(broken() ? "A promise was broken." : "All promises were kept.");
	}

	private void printJson(PrintStream out) {
		try {
			out.println(new ObjectMapper().setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
				.writeValueAsString(this));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static String join(long[] p) {
		return p[0] + "/" + p[1] + "/" + p[2];
	}

}
