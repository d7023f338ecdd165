package io.shallotspur.adapter.vmlist;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import org.jspecify.annotations.Nullable;

import io.shallotspur.cfg.Endpoint;
import io.shallotspur.port.VmEntry;

/**
 * Parses the VM list. Stateless and thread-safe.
 * <p>
 * Invariant: a malformed entry does not affect the others, however deeply nested or large
 * it is; unknown fields are skipped.
 */
final class VmListParser {

	private static final String ID = "id";

	private static final String HALL = "hall";

	private static final String PEER_ADDRESS = "peerAddress";

	private static final String CALLER_ADDRESS = "callerAddress";

	private static final String LEAVING = "leaving";

	private static final Set<String> TEXTS = Set.of(ID, HALL, PEER_ADDRESS, CALLER_ADDRESS);

	// Each open level of nesting takes some 60 bytes of the heap.
	private static final int MAX_NESTING = 250_000;

	private static final JsonFactory JSON = JsonFactory.builder()
		.streamReadConstraints(StreamReadConstraints.builder()
			.maxNestingDepth(MAX_NESTING)
			.maxNumberLength(HttpVmList.MAX_ANSWER_BYTES)
			.maxNameLength(HttpVmList.MAX_ANSWER_BYTES)
			.build())
		.build();

	private VmListParser() {
	}

	/**
	 * Parses a list.
	 * @param body the JSON array
	 * @return its valid entries
	 * @throws IOException if it is no JSON array, or only a part of one
	 */
	static Result parse(byte[] body) throws IOException {
		List<VmEntry> entries = new ArrayList<>();
		int malformed = 0;
		try (JsonParser p = JSON.createParser(body)) {
			expect(p, p.nextToken(), JsonToken.START_ARRAY);
			while (p.nextToken() != JsonToken.END_ARRAY) {
				Optional<VmEntry> e = entry(p);
				e.ifPresent(entries::add);
				malformed += e.isEmpty() ? 1 : 0;
			}
			expect(p, p.nextToken(), null);
		}
		return new Result(entries, malformed);
	}

	private static void expect(JsonParser p, @Nullable JsonToken token, @Nullable JsonToken expected)
			throws JsonParseException {
		if (token != expected) {
			throw new JsonParseException(p, "the list is not one JSON array");
		}
	}

	// Leaves the parser at the end of the entry.
	private static Optional<VmEntry> entry(JsonParser p) throws IOException {
		if (p.currentToken() == null) {
			throw new JsonParseException(p, "the list has no end");
		}
		if (p.currentToken() != JsonToken.START_OBJECT) {
			p.skipChildren();
			return Optional.empty();
		}
		Fields f = new Fields();
		while (p.nextToken() == JsonToken.FIELD_NAME) {
			String name = p.currentName();
			f.set(name, p.nextToken(), p);
			p.skipChildren();
		}
		expect(p, p.currentToken(), JsonToken.END_OBJECT);
		return f.entry();
	}

	/**
	 * The entries of a list.
	 *
	 * @param entries the valid entries
	 * @param malformed how many others there are
	 */
	record Result(List<VmEntry> entries, int malformed) {

	}

	/**
	 * The fields of an entry.
	 */
	private static final class Fields {

		private final Map<String, @Nullable String> texts = new HashMap<>();

		private boolean leaving;

		private boolean leavingMalformed;

		void set(String name, JsonToken token, JsonParser p) throws IOException {
			if (name.equals(LEAVING)) {
				this.leaving = token == JsonToken.VALUE_TRUE;
				this.leavingMalformed = !token.isBoolean() && token != JsonToken.VALUE_NULL;
			}
			else if (TEXTS.contains(name)) {
				this.texts.put(name, (token == JsonToken.VALUE_STRING) ? p.getText() : null);
			}
		}

		Optional<VmEntry> entry() {
			String id = this.texts.get(ID);
			String hall = this.texts.get(HALL);
			String peers = this.texts.get(PEER_ADDRESS);
			String callers = this.texts.get(CALLER_ADDRESS);
			if (id == null || id.isBlank() || hall == null || !isAddress(peers) || !isAddress(callers)
					|| this.leavingMalformed) {
				return Optional.empty();
			}
			return Optional.of(new VmEntry(id, hall, peers, callers, this.leaving));
		}

		private static boolean isAddress(@Nullable String s) {
			return s != null && (s.isEmpty() || Endpoint.parse(s).filter((e) -> e.port() > 0).isPresent());
		}

	}

}
