package io.shallotspur.record;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class NodeMetricsTests {

	@Test
	void exportsHistogramsOfEachCustomerAndClass() {
		NodeMetrics m = new NodeMetrics(4);
		m.registry().counter("ledger.commits").inc(3);
		m.finished(RecordTestData.end("bilhete.continuo", Verdict.MET, 250_000));
		String text = m.scrape();
		assertThat(text).contains("ledger_commits")
			.contains("shallotspur_requests_total{class=\"c\",customer=\"bilhete.continuo\",verdict=\"met\"} 1.0")
			.contains("shallotspur_ttft_seconds{class=\"c\",customer=\"bilhete.continuo\",quantile=\"0.95\"} 0.25")
			.contains("shallotspur_wasted_prefill_tokens_total{class=\"c\",customer=\"bilhete.continuo\"} 1.0");
	}

	/**
	 * Tens of thousands of customers call in turn, a few of them often. The page must
	 * stay small, show the few, and count each request once.
	 */
	@Test
	void manyCustomersMakeAFewSeries() {
		NodeMetrics m = new NodeMetrics(8);
		int rare = 33_000;
		for (int i = 0; i < rare; i++) {
			m.finished(RecordTestData.end("rare-" + i, Verdict.MET, 1000));
			m.finished(RecordTestData.end("often-" + i % 4, Verdict.MET, 1000));
		}
		String text = m.scrape();
		assertThat(text.lines().count()).isLessThan(200);
		assertThat(text).contains("often-0", "often-1", "often-2", "often-3", "customer=\"other\"");
		double sum = text.lines()
			.filter((l) -> l.startsWith("shallotspur_requests_total"))
			.mapToDouble((l) -> Double.parseDouble(l.substring(l.lastIndexOf(' '))))
			.sum();
		assertThat(sum).isEqualTo(2 * rare);
	}

	@Test
	void quantilesForgetFormerWindows() {
		NodeMetrics m = new NodeMetrics(1);
		m.finished(RecordTestData.end("acme", Verdict.MET, 9_000_000));
		m.rotate();
		m.rotate();
		m.finished(RecordTestData.end("acme", Verdict.MET, 1_000_000));
		assertThat(m.scrape())
			.contains("shallotspur_ttft_seconds{class=\"c\",customer=\"acme\",quantile=\"0.99\"} 1.0");
	}

}
