package io.shallotspur.adapter.caller;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;

import io.shallotspur.outcome.Refusal;

/**
 * A problem document (RFC 9457) of the callers' API. Immutable.
 *
 * @param type the problem type
 * @param title its short name
 * @param status the HTTP status
 * @param detail a sentence for the caller
 * @param outcome whether the request was run: {@code not_run} or {@code outcome_unknown}
 * @param retryAfterMs when it may be worth coming back, in milliseconds, or 0
 */
record Problem(String type, String title, int status, String detail, String outcome,
		@JsonProperty("retry_after_ms") long retryAfterMs) {

	static final String MEDIA_TYPE = "application/problem+json";

	private static final String TYPE_PREFIX = "urn:shallotspur:problem:";

	private static final ObjectWriter WRITER = new ObjectMapper().writer();

	static Problem of(Refusal r) {
		return new Problem(TYPE_PREFIX + r.code().code(), r.code().code(), r.code().httpStatus(), r.detail(),
				r.outcome().code(), r.retryAfterMs());
	}

	byte[] toJson() {
		try {
			return WRITER.writeValueAsBytes(this);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
