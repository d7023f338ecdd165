package io.shallotspur.platform;

import com.fasterxml.jackson.databind.JsonNode;

import io.shallotspur.cfg.Endpoint;
import io.shallotspur.exc.InputException;

/**
 * The fields of one entry in the store, each read as what it has to be. Immutable.
 * <p>
 * Entries may come from other writers. One that is read with defaults for what is missing
 * becomes a worker that nobody runs, to which requests are then sent.
 */
final class EntryFields {

	private final JsonNode entry;

	private final String key;

	/**
	 * Creates a reader.
	 * @param entry the entry
	 * @param key its key, for messages
	 * @throws InputException if the entry has no fields
	 */
	EntryFields(JsonNode entry, String key) throws InputException {
		if (!entry.isObject()) {
			throw new InputException("The entry is not an object.", key);
		}
		this.entry = entry;
		this.key = key;
	}

	boolean has(String field) {
		return this.entry.has(field);
	}

	String text(String field) throws InputException {
		JsonNode n = this.entry.path(field);
		if (!n.isTextual() || n.asText().isBlank()) {
			throw unusable(field);
		}
		return n.asText();
	}

	Endpoint endpoint(String field) throws InputException {
		return Endpoint.parse(text(field)).filter((e) -> e.port() > 0).orElseThrow(() -> unusable(field));
	}

	/**
	 * Reads a whole number.
	 * @param field the field
	 * @return the number, not negative
	 * @throws InputException if it is missing, of another type, negative or too large
	 */
	long count(String field) throws InputException {
		JsonNode n = this.entry.path(field);
		if (!n.isIntegralNumber() || !n.canConvertToLong() || n.asLong() < 0) {
			throw unusable(field);
		}
		return n.asLong();
	}

	/**
	 * Reads a whole number.
	 * @param field the field
	 * @return the number, at least 1
	 * @throws InputException if it is missing, of another type, less than 1 or too large
	 */
	int positive(String field) throws InputException {
		long n = count(field);
		if (n < 1 || n > Integer.MAX_VALUE) {
			throw unusable(field);
		}
		return (int) n;
	}

	/**
	 * Reads a number.
	 * @param field the field
	 * @return the number, more than 0
	 * @throws InputException if it is missing, of another type, not finite or not more
	 * than 0
	 */
	double amount(String field) throws InputException {
		double d = number(field);
		if (d <= 0) {
			throw unusable(field);
		}
		return d;
	}

	double number(String field) throws InputException {
		JsonNode n = this.entry.path(field);
		if (!n.isNumber() || !Double.isFinite(n.asDouble())) {
			throw unusable(field);
		}
		return n.asDouble();
	}

	InputException unusable(String field) {
		return new InputException("The field " + field + " is missing or unusable.", this.key);
	}

}
