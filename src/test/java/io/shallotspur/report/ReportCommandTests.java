package io.shallotspur.report;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Instant;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import io.shallotspur.exc.InputException;
import io.shallotspur.exc.StoreException;
import io.shallotspur.record.RecordLimits;
import io.shallotspur.record.RecordWriter;
import io.shallotspur.record.Recorder;
import io.shallotspur.record.RequestEnd;
import io.shallotspur.record.Verdict;
import io.shallotspur.testing.FakeKvStore;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class ReportCommandTests {

	private final FakeKvStore store = new FakeKvStore();

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ReportOptions options = new ReportOptions();

	@BeforeEach
	void record() {
		Recorder r = new Recorder("vm-1", 1, 100);
		long t = Instant.parse("2026-12-02T08:30:00Z").toEpochMilli();
		for (int i = 0; i < 100; i++) {
			r.finished(end("summary", (i < 97) ? Verdict.MET : Verdict.MISSED), t);
			r.finished(end("<status>", (i < 90) ? Verdict.MET : Verdict.REFUSED), t);
		}
		new RecordWriter(this.store, r, RecordLimits.defaults()).close().block();
		this.options.setRange("acme", "2026-12-02", "2026-12-03");
	}

	@Test
	void saysWhichTermsWereKept() throws Exception {
		this.options.setJson(true);
		JsonNode n = new ObjectMapper().readTree(run());
		assertThat(n.get("kept").booleanValue()).isFalse();
		assertThat(n.get("complete").booleanValue()).isTrue();
		assertThat(n.get("by_class").get("summary").get("kept").booleanValue()).isTrue();
		assertThat(n.get("by_class").get("summary").get("met_ratio").doubleValue()).isEqualTo(0.97);
		assertThat(n.get("by_class").get("<status>").get("refused").longValue()).isEqualTo(10);
	}

	@Test
	void printsATableAndWritesAPage(@TempDir Path dir) throws Exception {
		Path html = dir.resolve("r.html");
		this.options.setHtml(html);
		assertThat(run()).contains("terms NOT kept").contains("0.9700");
		assertThat(html).content().contains("&lt;status&gt;").doesNotContain("<status>").contains("<svg");
	}

	@Test
	void aBadInstantAndAStoreThatIsDownAreTypedErrors() {
		this.store.setDown(true);
		assertThatExceptionOfType(StoreException.class).isThrownBy(this::run);
		this.options.setRange("acme", "yesterday", "2026-12-03");
		assertThatExceptionOfType(InputException.class).isThrownBy(this::run);
		this.options.setRange("acme", "2026-12-03", "2026-12-03");
		assertThatExceptionOfType(InputException.class).isThrownBy(this::run);
	}

	private String run() throws Exception {
		new ReportCommand(this.store).run(this.options, new PrintStream(this.out, true, StandardCharsets.UTF_8));
		return this.out.toString(StandardCharsets.UTF_8);
	}

	private static RequestEnd end(String className, Verdict verdict) {
		return new RequestEnd("acme", className, verdict, 100_000, new long[] { 30_000 }, 10, 0);
	}

}
