package io.shallotspur.replay;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Runs the command {@code replay} on the small traces of the tests.
 */
final class ReplayRunner {

	private static final Path DIR = Path.of("src/test/resources/replay");

	private ReplayRunner() {
	}

	static Result run(String trace, Policy policy, long seed) {
		return run(DIR.resolve(trace), policy, seed, 1);
	}

	static Result run(Path trace, Policy policy, long seed, double load) {
		return run(trace, "small.fleet.toml", policy, seed, load);
	}

	static Result runWide(String trace, Policy policy, long seed) {
		return run(DIR.resolve(trace), "wide.fleet.toml", policy, seed, 1);
	}

	private static Result run(Path trace, String fleet, Policy policy, long seed, double load) {
		ReplayOptions options = new ReplayOptions();
		options.setFiles(trace, DIR.resolve(fleet), DIR.resolve("small.contracts.toml"));
		options.setPolicy(policy.code());
		options.setSeed(seed);
		options.setJson(true);
		options.setLoad(load);
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		ByteArrayOutputStream err = new ByteArrayOutputStream();
		int code = new ReplayCommand().run(options, new PrintStream(out, true, StandardCharsets.UTF_8),
				new PrintStream(err, true, StandardCharsets.UTF_8));
		return new Result(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
	}

	record Result(int code, String out, String err) {

		JsonNode json() throws Exception {
			return new ObjectMapper().readTree(this.out);
		}

		long count(String field) throws Exception {
			return json().get(field).asLong();
		}

	}

}
