package io.shallotspur.demo;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The demonstration keeps its promises.
 */
class DemoTests {

	@Test
	void keepsAllPromises() throws Exception {
		DemoOptions o = new DemoOptions();
		o.setSeconds(1);
		o.setJson(true);
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		PrintStream err = new PrintStream(new ByteArrayOutputStream(), false, StandardCharsets.UTF_8);
		int result = new Demo().run(o, new PrintStream(out, true, StandardCharsets.UTF_8), err);
		JsonNode report = new ObjectMapper().readTree(out.toByteArray());
		assertThat(result).as(report.toString()).isZero();
		assertThat(report.path("rows")).hasSize(10);
		assertThat(report.path("held_for_gone").asInt()).isZero();
	}

}
