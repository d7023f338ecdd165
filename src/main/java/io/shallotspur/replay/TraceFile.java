package io.shallotspur.replay;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.jspecify.annotations.Nullable;

import io.shallotspur.exc.InputException;
import io.shallotspur.replay.fake.PrefixCache.Prefix;

/**
 * Reads traces (JSON Lines). Reading is strict: the first line that is malformed, out of
 * order, or names a worker or request that does not exist ends it. Stateless and
 * thread-safe.
 */
final class TraceFile {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private static final List<String> TYPES = List.of("request", "crash", "leave", "stall", "poison");

	private static final List<String> TOKEN_FIELDS = List.of("prefix", "prefix_tokens", "prompt_tokens",
			"output_tokens");

	private TraceFile() {
	}

	/**
	 * Reads a trace.
	 * @param file the file
	 * @param fleet the workers that the trace may name
	 * @return the lines in order
	 * @throws InputException if the file cannot be read or a line is malformed; the
	 * location names file, line and field
	 */
	static List<TraceLine> read(Path file, Fleet fleet) throws InputException {
		List<TraceLine> lines = new ArrayList<>();
		Set<String> ids = new HashSet<>();
		try (BufferedReader r = Files.newBufferedReader(file)) {
			long last = 0;
			int number = 0;
			for (String s = r.readLine(); s != null; s = r.readLine()) {
				LineFields f = new LineFields(parse(s, file, ++number), file + ":" + number);
				TraceLine line = readLine(f, fleet, ids);
				if (line.atMs() < last) {
					throw f.problem("at_ms", "is before the line above", "lines in order of at_ms");
				}
				last = line.atMs();
				lines.add(line);
			}
		}
		catch (IOException ex) {
			throw new InputException("The trace cannot be read: " + ex, file.toString(), ex);
		}
		requirePoisonedExist(lines, ids, file);
		return lines;
	}

	private static JsonNode parse(String s, Path file, int number) throws InputException {
		String where = file + ":" + number;
		try {
			JsonNode n = MAPPER.readTree(s);
			if (n == null || !n.isObject()) {
				throw new InputException("The line is not a JSON object.", where + ": (line)");
			}
			return n;
		}
		catch (JsonProcessingException ex) {
			throw new InputException("The line is not JSON: " + ex.getOriginalMessage(), where + ": (line)", ex);
		}
	}

	private static TraceLine readLine(LineFields f, Fleet fleet, Set<String> ids) throws InputException {
		long at = f.whole("at_ms", 0, Long.MAX_VALUE / 1_000_000);
		String type = f.text("type");
		TraceLine line = switch (type) {
			case "request" -> readRequest(f, at, ids);
			case "crash" -> new TraceLine.Crash(at, f.worker(fleet));
			case "leave" -> new TraceLine.Leave(at, f.worker(fleet));
			case "stall" -> new TraceLine.Stall(at, f.worker(fleet), f.whole("for_ms", 0, Integer.MAX_VALUE));
			case "poison" -> new TraceLine.Poison(at, f.text("id"));
			default -> throw f.problem("type", "is \"" + type + "\"", "one of " + TYPES);
		};
		f.end();
		return line;
	}

	private static TraceLine readRequest(LineFields f, long at, Set<String> ids) throws InputException {
		String id = f.text("id");
		if (!ids.add(id)) {
			throw f.problem("id", "is there twice: \"" + id + "\"", "ids that are unique in the trace");
		}
		String customer = f.text("customer");
		String className = f.text("class");
		TraceLine.Tokens tokens = TOKEN_FIELDS.stream().anyMatch(f::present) ? readTokens(f) : null;
		Long cancel = f.missing("cancel_after_ms") ? null
				: Long.valueOf(f.whole("cancel_after_ms", 0, Integer.MAX_VALUE));
		String key = f.missing("key") ? null : f.text("key");
		return new TraceLine.Request(at, id, customer, className, tokens, cancel, key);
	}

	private static TraceLine.Tokens readTokens(LineFields f) throws InputException {
		Prefix prefix = null;
		int shared = 0;
		if (!f.missing("prefix")) {
			shared = (int) f.whole("prefix_tokens", 1, Integer.MAX_VALUE);
			prefix = new Prefix(f.text("prefix"), shared);
		}
		else if (!f.missing("prefix_tokens")) {
			f.whole("prefix_tokens", 0, 0);
		}
		int prompt = (int) f.whole("prompt_tokens", Math.max(1, shared), Integer.MAX_VALUE);
		int output = (int) f.whole("output_tokens", 1, Integer.MAX_VALUE);
		return new TraceLine.Tokens(prefix, prompt, output);
	}

	private static void requirePoisonedExist(List<TraceLine> lines, Set<String> ids, Path file) throws InputException {
		for (int i = 0; i < lines.size(); i++) {
			if (lines.get(i) instanceof TraceLine.Poison p && !ids.contains(p.id())) {
				throw new InputException("id is \"" + p.id() + "\"; allowed: the id of a request of the trace",
						file + ":" + (i + 1) + ": id");
			}
		}
	}

	/**
	 * The fields of one line. Each problem ends the run.
	 */
	private static final class LineFields {

		private final JsonNode node;

		private final String where;

		private final Set<String> read = new HashSet<>();

		LineFields(JsonNode node, String where) {
			this.node = node;
			this.where = where;
		}

		boolean present(String field) {
			return this.node.has(field);
		}

		boolean missing(String field) {
			this.read.add(field);
			return !this.node.hasNonNull(field);
		}

		String text(String field) throws InputException {
			@Nullable JsonNode v = require(field);
			if (!v.isTextual() || v.textValue().isEmpty()) {
				throw problem(field, "is " + v, "a text that is not empty");
			}
			return v.textValue();
		}

		long whole(String field, long least, long most) throws InputException {
			JsonNode v = require(field);
			boolean fits = v.isIntegralNumber() && v.canConvertToLong();
			if (!fits || v.longValue() < least || v.longValue() > most) {
				throw problem(field, "is " + v, "a whole number from " + least + " to " + most);
			}
			return v.longValue();
		}

		String worker(Fleet fleet) throws InputException {
			String id = text("worker");
			if (fleet.findWorker(id).isEmpty()) {
				throw problem("worker", "is \"" + id + "\"", "the id of a worker of the fleet");
			}
			return id;
		}

		void end() throws InputException {
			for (Iterator<String> i = this.node.fieldNames(); i.hasNext();) {
				String name = i.next();
				if (!this.read.contains(name)) {
					throw problem(name, "is unknown", "one of " + this.read.stream().sorted().toList());
				}
			}
		}

		InputException problem(String field, String problem, String allowed) {
			return new InputException(field + " " + problem + "; allowed: " + allowed, this.where + ": " + field);
		}

		private JsonNode require(String field) throws InputException {
			this.read.add(field);
			JsonNode v = this.node.get(field);
			if (v == null || v.isNull()) {
				throw problem(field, (v != null) ? "is null" : "is missing", "a value");
			}
			return v;
		}

	}

}
