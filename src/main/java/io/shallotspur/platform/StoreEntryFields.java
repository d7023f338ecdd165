package io.shallotspur.platform;

import com.fasterxml.jackson.databind.JsonNode;

import io.shallotspur.cfg.Endpoint;
import io.shallotspur.exc.InputException;

/**
 * Reads and validates the fields of one store entry. Immutable.
 * <p>
 * Missing fields get no defaults, because entries may come from other writers: a
 * defaulted worker entry would register a worker that does not exist, and requests would
 * be sent to it.
 */
final class StoreEntryFields {

	private final JsonNode entry;

	private final String key;

	/**
	 * Creates a reader.
	 * @param entry the entry
	 * @param key its key, for error messages
	 * @throws InputException if the entry is not a JSON object
	 */
	StoreEntryFields(JsonNode entry, String key) throws InputException {
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
			throw invalidField(field);
		}
		return n.asText();
	}

	Endpoint endpoint(String field) throws InputException {
		return Endpoint.parse(text(field)).filter((e) -> e.port() > 0).orElseThrow(() -> invalidField(field));
	}

	/**
	 * Reads a non-negative integer.
	 * @param field the field
	 * @return the number, at least 0
	 * @throws InputException if it is missing, of another type, negative or too large
	 */
	long nonNegativeLong(String field) throws InputException {
		JsonNode n = this.entry.path(field);
		if (!n.isIntegralNumber() || !n.canConvertToLong() || n.asLong() < 0) {
			throw invalidField(field);
		}
		return n.asLong();
	}

	/**
	 * Reads a positive integer.
	 * @param field the field
	 * @return the number, at least 1
	 * @throws InputException if it is missing, of another type, less than 1 or too large
	 */
	int positiveInt(String field) throws InputException {
		long n = nonNegativeLong(field);
		if (n < 1 || n > Integer.MAX_VALUE) {
			throw invalidField(field);
		}
		return (int) n;
	}

	/**
	 * Reads a positive number.
	 * @param field the field
	 * @return the number, greater than 0
	 * @throws InputException if it is missing, of another type, not finite or not greater
	 * than 0
	 */
	double positiveDouble(String field) throws InputException {
		double d = finiteDouble(field);
		if (d <= 0) {
			throw invalidField(field);
		}
		return d;
	}

	double finiteDouble(String field) throws InputException {
		JsonNode n = this.entry.path(field);
		if (!n.isNumber() || !Double.isFinite(n.asDouble())) {
			throw invalidField(field);
		}
		return n.asDouble();
	}

	InputException invalidField(String field) {
		return new InputException("The field " + field + " is missing or invalid.", this.key);
	}

}
