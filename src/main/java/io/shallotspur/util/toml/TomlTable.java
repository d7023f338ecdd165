package io.shallotspur.util.toml;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.jspecify.annotations.Nullable;

import io.shallotspur.exc.InputException;

/**
 * One table of a TOML file, read key by key. A value that is missing, of the wrong type
 * or out of range becomes a {@link Problem} and the reader goes on with a stand-in value,
 * so that its author sees all problems at once. Keys that nobody asked for are problems
 * too: a misspelt key would otherwise leave a default in force without anyone noticing.
 * <p>
 * Not thread-safe. Call {@link #finish()} once all keys are read.
 */
public final class TomlTable {

	private static final TomlMapper MAPPER = new TomlMapper();

	private final String path;

	private final JsonNode node;

	private final Problems problems;

	private final Set<String> asked = new HashSet<>();

	private TomlTable(String path, JsonNode node, Problems problems) {
		this.path = path;
		this.node = node;
		this.problems = problems;
	}

	/**
	 * Parses a file.
	 * @param file the file
	 * @param problems receives what is wrong with its values
	 * @return the file's root table
	 * @throws InputException if the file cannot be read or is not TOML
	 */
	public static TomlTable parse(Path file, Problems problems) throws InputException {
		try {
			return parse(Files.readString(file), problems);
		}
		catch (IOException ex) {
			throw new InputException("The file cannot be read: " + ex.getMessage(), file.toString(), ex);
		}
	}

	/**
	 * Parses a text.
	 * @param text the text of a TOML file
	 * @param problems receives what is wrong with its values
	 * @return the root table
	 * @throws InputException if the text is not TOML
	 */
	public static TomlTable parse(String text, Problems problems) throws InputException {
		try {
			JsonNode n = MAPPER.readTree(text);
			return new TomlTable("", (n != null) ? n : JsonNodeFactory.instance.objectNode(), problems);
		}
		catch (JsonProcessingException ex) {
			String at = (ex.getLocation() != null) ? ":" + ex.getLocation().getLineNr() : "";
			throw new InputException("This is not TOML: " + ex.getOriginalMessage(), problems.file() + at, ex);
		}
	}

	/**
	 * Tells whether a key is there, without counting it as read.
	 * @param key the key
	 * @return {@code true} if the table has it
	 */
	public boolean has(String key) {
		return this.node.has(key);
	}

	/**
	 * Reads a text that must be there and must not be empty.
	 * @param key the key
	 * @return the text, or an empty one after a problem
	 */
	public String text(String key) {
		JsonNode n = required(key, "a text");
		if (n == null) {
			return "";
		}
		if (!n.isTextual() || n.asText().isEmpty()) {
			wrong(key, n, "a text that is not empty");
			return "";
		}
		return n.asText();
	}

	/**
	 * Reads a text that may be missing.
	 * @param key the key
	 * @param dflt the default
	 * @return the text
	 */
	public String text(String key, String dflt) {
		return (get(key) != null) ? text(key) : dflt;
	}

	/**
	 * Reads a list of texts that may be missing.
	 * @param key the key
	 * @return the texts; empty if there is no such key
	 */
	public List<String> texts(String key) {
		JsonNode n = get(key);
		List<String> l = new ArrayList<>();
		if (n == null) {
			return l;
		}
		if (!n.isArray()) {
			wrong(key, n, "a list of texts");
			return l;
		}
		for (JsonNode e : n) {
			if (e.isTextual()) {
				l.add(e.asText());
			}
			else {
				wrong(key, e, "a list of texts");
			}
		}
		return l;
	}

	/**
	 * Reads one of several words.
	 * @param key the key
	 * @param dflt the default, or {@code null} if the key must be there
	 * @param words the allowed words
	 * @return the word; the first allowed one after a problem
	 */
	public String word(String key, @Nullable String dflt, List<String> words) {
		JsonNode n = (dflt != null) ? get(key) : required(key, "one of " + words);
		if (n == null) {
			return (dflt != null) ? dflt : words.get(0);
		}
		if (!n.isTextual() || !words.contains(n.asText())) {
			wrong(key, n, "one of " + words);
			return words.get(0);
		}
		return n.asText();
	}

	/**
	 * Reads a whole number that must be there.
	 * @param key the key
	 * @param min the least allowed
	 * @param max the most allowed
	 * @return the number, or {@code min} after a problem
	 */
	public long whole(String key, long min, long max) {
		JsonNode n = required(key, range(min, max));
		return (n != null) ? checkWhole(key, n, min, max) : min;
	}

	/**
	 * Reads a whole number that may be missing.
	 * @param key the key
	 * @param dflt the default
	 * @param min the least allowed
	 * @param max the most allowed
	 * @return the number
	 */
	public long whole(String key, long dflt, long min, long max) {
		JsonNode n = get(key);
		return (n != null) ? checkWhole(key, n, min, max) : dflt;
	}

	/**
	 * Reads a number that must be there.
	 * @param key the key
	 * @param min the least allowed
	 * @param max the most allowed
	 * @return the number, or {@code min} after a problem
	 */
	public double number(String key, double min, double max) {
		JsonNode n = required(key, "a number from " + min + " to " + max);
		return (n != null) ? checkNumber(key, n, min, max) : min;
	}

	/**
	 * Reads a number that may be missing.
	 * @param key the key
	 * @param dflt the default
	 * @param min the least allowed
	 * @param max the most allowed
	 * @return the number
	 */
	public double number(String key, double dflt, double min, double max) {
		JsonNode n = get(key);
		return (n != null) ? checkNumber(key, n, min, max) : dflt;
	}

	/**
	 * Reads a truth value that must be there.
	 * @param key the key
	 * @return the value, or {@code false} after a problem
	 */
	public boolean flag(String key) {
		JsonNode n = required(key, "true or false");
		return n != null && checkFlag(key, n);
	}

	/**
	 * Reads a truth value that may be missing.
	 * @param key the key
	 * @param dflt the default
	 * @return the value
	 */
	public boolean flag(String key, boolean dflt) {
		JsonNode n = get(key);
		return (n != null) ? checkFlag(key, n) : dflt;
	}

	/**
	 * Reads a table that may be missing.
	 * @param key the key
	 * @return the table; an empty one if there is no such key
	 */
	public TomlTable table(String key) {
		JsonNode n = get(key);
		if (n != null && !n.isObject()) {
			wrong(key, n, "a table, [" + this.path + key + "]");
			n = null;
		}
		JsonNode t = (n != null) ? n : JsonNodeFactory.instance.objectNode();
		return new TomlTable(this.path + key + ".", t, this.problems);
	}

	/**
	 * Reads a list of tables that may be missing.
	 * @param key the key
	 * @return the tables, in the order of the file
	 */
	public List<TomlTable> tables(String key) {
		JsonNode n = get(key);
		List<TomlTable> l = new ArrayList<>();
		if (n == null) {
			return l;
		}
		if (!n.isArray()) {
			wrong(key, n, "a list of tables, [[" + this.path + key + "]]");
			return l;
		}
		for (int i = 0; i < n.size(); i++) {
			if (n.get(i).isObject()) {
				l.add(new TomlTable(this.path + key + "[" + i + "].", n.get(i), this.problems));
			}
			else {
				wrong(key, n.get(i), "a list of tables, [[" + this.path + key + "]]");
			}
		}
		return l;
	}

	/**
	 * Adds a problem about a key of this table that only its reader can see.
	 * @param key the key
	 * @param what what is wrong
	 * @param allowed what would be right
	 */
	public void problem(String key, String what, String allowed) {
		this.problems.add(this.path + key, what, allowed);
	}

	/**
	 * Reports the keys that nobody asked for.
	 */
	public void finish() {
		this.node.fieldNames().forEachRemaining((k) -> {
			if (!this.asked.contains(k)) {
				problem(k, "there is no such key", "one of " + this.asked.stream().sorted().toList());
			}
		});
	}

	private @Nullable JsonNode get(String key) {
		this.asked.add(key);
		return this.node.get(key);
	}

	private @Nullable JsonNode required(String key, String allowed) {
		JsonNode n = get(key);
		if (n == null) {
			problem(key, "the key is missing", allowed);
		}
		return n;
	}

	private long checkWhole(String key, JsonNode n, long min, long max) {
		if (!n.isIntegralNumber() || !n.canConvertToLong() || n.asLong() < min || n.asLong() > max) {
			wrong(key, n, range(min, max));
			return min;
		}
		return n.asLong();
	}

	private double checkNumber(String key, JsonNode n, double min, double max) {
		if (!n.isNumber() || !(n.asDouble() >= min && n.asDouble() <= max)) {
			wrong(key, n, "a number from " + min + " to " + max);
			return min;
		}
		return n.asDouble();
	}

	private boolean checkFlag(String key, JsonNode n) {
		if (!n.isBoolean()) {
			wrong(key, n, "true or false");
		}
		return n.asBoolean();
	}

	private void wrong(String key, JsonNode n, String allowed) {
		problem(key, "the value " + n + " is not allowed", allowed);
	}

	private static String range(long min, long max) {
		return "a whole number from " + min + " to " + ((max == Long.MAX_VALUE) ? "any" : max);
	}

}
