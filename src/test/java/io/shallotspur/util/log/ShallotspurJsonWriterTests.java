package io.shallotspur.util.log;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.runtime.RuntimeProvider;

import static org.assertj.core.api.Assertions.assertThat;

class ShallotspurJsonWriterTests {

	@Test
	void writesOneObjectALineWithThePartApart() throws Exception {
		ByteArrayOutputStream b = new ByteArrayOutputStream();
		ShallotspurJsonWriter w = new ShallotspurJsonWriter(new PrintStream(b, true, StandardCharsets.UTF_8));
		w.write(new LogEntry(RuntimeProvider.createTimestamp(), null, null, null, null, null, -1, null, Level.WARN,
				"[peer] The link \"a\"\nended.", new IllegalStateException("x")));
		String s = b.toString(StandardCharsets.UTF_8);
		assertThat(s.strip().lines()).hasSize(1);
		JsonNode n = new ObjectMapper().readTree(s);
		assertThat(n.get("part").asText()).isEqualTo("peer");
		assertThat(n.get("message").asText()).isEqualTo("The link \"a\"\nended.");
		assertThat(n.get("level").asText()).isEqualTo("WARN");
		assertThat(n.get("exception").asText()).contains("IllegalStateException");
	}

}
