package io.shallotspur.adapter.engine;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import org.jspecify.annotations.Nullable;

import io.shallotspur.exc.EngineException;
import io.shallotspur.exc.EngineLostException;
import io.shallotspur.port.TokenChunk;

/**
 * Reads the events of a token stream, {@code {"i":12,"t":"text"}} each and {@code [DONE]}
 * at the end. The usual form is read without a JSON tree; any other falls back to one.
 * Confined to one subscription.
 */
final class TokenParser implements SseDecoder.Parser<TokenChunk> {

	private static final ObjectReader READER = new ObjectMapper().reader();

	private static final byte[] INDEX = "{\"i\":".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] TEXT = ",\"t\":\"".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.US_ASCII);

	private final String worker;

	private boolean done;

	TokenParser(String worker) {
		this.worker = worker;
	}

	/**
	 * Returns whether the engine said that the answer is whole.
	 * @return whether the last event was seen
	 */
	boolean isDone() {
		return this.done;
	}

	@Override
	public @Nullable TokenChunk parse(byte[] b, int from, int to) throws EngineException {
		if (matches(b, from, to, DONE)) {
			this.done = true;
			return null;
		}
		if (!matches(b, from, to, INDEX)) {
			return parseTree(b, from, to);
		}
		int i = from + INDEX.length;
		long index = 0;
		while (i < to && b[i] >= '0' && b[i] <= '9') {
			index = 10 * index + b[i] - '0';
			i++;
		}
		if (!matches(b, i, to, TEXT) || !isPlain(b, i + TEXT.length, to - 2)) {
			return parseTree(b, from, to);
		}
		int text = i + TEXT.length;
		return new TokenChunk(index, new String(b, text, to - 2 - text, StandardCharsets.UTF_8));
	}

	private TokenChunk parseTree(byte[] b, int from, int to) throws EngineException {
		try {
			JsonNode n = READER.readTree(b, from, to - from);
			if (n.path("i").isIntegralNumber() && n.path("t").isTextual()) {
				return new TokenChunk(n.path("i").longValue(), n.path("t").textValue());
			}
			throw new EngineLostException("The engine ended the stream: " + n.path("error").asText("bad event"),
					this.worker);
		}
		catch (IOException ex) {
			throw new EngineLostException("The engine's event cannot be read.", this.worker, ex);
		}
	}

	private static boolean matches(byte[] b, int from, int to, byte[] what) {
		return to - from >= what.length && Arrays.equals(b, from, from + what.length, what, 0, what.length);
	}

	private static boolean isPlain(byte[] b, int from, int to) {
		for (int i = from; i < to; i++) {
			if (b[i] == '\\' || b[i] == '"') {
				return false;
			}
		}
		return from <= to && b[to] == '"' && b[to + 1] == '}';
	}

}
