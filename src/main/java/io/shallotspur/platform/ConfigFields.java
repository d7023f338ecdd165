package io.shallotspur.platform;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import io.shallotspur.exc.InputException;

/**
 * Reads the fields of one object of the operator's configuration that set limits and
 * priorities. Immutable.
 * <p>
 * A field that is missing or null has its default. One that cannot be read makes the
 * configuration invalid: a limit that is taken for none, or a priority for another one,
 * would be noticed only by the customers that it harms.
 */
final class ConfigFields {

	private final JsonNode object;

	private final String path;

	/**
	 * Creates a reader.
	 * @param object the object
	 * @param path where it is in the configuration, for error messages
	 */
	ConfigFields(JsonNode object, String path) {
		this.object = object;
		this.path = path;
	}

	/**
	 * Reads a number.
	 * @param field the field
	 * @return the number, finite and at least 0; 0 if there is none
	 * @throws InputException if it is of another type, negative or not finite
	 */
	double amount(String field) throws InputException {
		if (!this.object.hasNonNull(field)) {
			return 0;
		}
		JsonNode n = this.object.path(field);
		if (!n.isNumber() || !Double.isFinite(n.asDouble()) || n.asDouble() < 0) {
			throw unreadable(field);
		}
		return n.asDouble();
	}

	/**
	 * Reads a whole number.
	 * @param field the field
	 * @return the number, at least 0, or {@code null} if there is none
	 * @throws InputException if it is of another type, negative, too large or not a whole
	 * number
	 */
	@Nullable Integer count(String field) throws InputException {
		if (!this.object.hasNonNull(field)) {
			return null;
		}
		double d = amount(field);
		if (d != Math.rint(d) || d > Integer.MAX_VALUE) {
			throw unreadable(field);
		}
		return (int) d;
	}

	/**
	 * Reads a text.
	 * @param field the field
	 * @return the text; empty if there is none
	 * @throws InputException if it is of another type
	 */
	String text(String field) throws InputException {
		if (this.object.hasNonNull(field) && !this.object.path(field).isTextual()) {
			throw unreadable(field);
		}
		return this.object.path(field).asText("");
	}

	private InputException unreadable(String field) {
		return new InputException("The field " + field + " cannot be read: " + this.path + ".", this.path);
	}

}
