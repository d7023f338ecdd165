package io.shallotspur.node;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import net.openhft.hashing.LongHashFunction;

import io.shallotspur.cell.ModelRequest;
import io.shallotspur.outcome.RefusalCode;

/**
 * What the router reads of a model request's body. Immutable; the array is not copied.
 *
 * @param tokens the tokens of the prompt, estimated from its bytes
 * @param blocks hashes of its leading blocks, each covering all before it
 * @param maxOutputTokens the most tokens the caller wants, or 0
 */
public record Prompt(int tokens, long[] blocks, int maxOutputTokens) {

	/**
	 * Bytes of UTF-8 that count as one token. The estimate only ranks work; the engine
	 * reports the true count.
	 */
	public static final int BYTES_PER_TOKEN = 4;

	private static final int BLOCK_BYTES = ModelRequest.BLOCK_TOKENS * BYTES_PER_TOKEN;

	private static final ObjectReader READER = new ObjectMapper().reader();

	/**
	 * Reads a body of either OpenAI-compatible form.
	 * @param body the body, JSON
	 * @return the prompt
	 * @throws RefusedException if the body is malformed
	 */
	public static Prompt read(byte[] body) throws RefusedException {
		JsonNode root = parse(body);
		byte[] text = text(root).getBytes(StandardCharsets.UTF_8);
		JsonNode max = root.path("max_tokens");
		if (!max.isMissingNode() && !(max.canConvertToInt() && max.intValue() > 0)) {
			throw malformed("\"max_tokens\" must be a whole number over 0.");
		}
		return new Prompt(Math.max(1, text.length / BYTES_PER_TOKEN), blocks(text), max.asInt(0));
	}

	/**
	 * Returns the text that the model reads.
	 * @param root the body
	 * @return the text
	 * @throws RefusedException if there is none
	 */
	public static String text(JsonNode root) throws RefusedException {
		if (root.path("prompt").isTextual()) {
			return root.path("prompt").textValue();
		}
		if (!root.path("messages").isArray() || root.path("messages").isEmpty()) {
			throw malformed("The body needs a string \"prompt\" or an array \"messages\".");
		}
		StringBuilder b = new StringBuilder();
		for (JsonNode m : root.path("messages")) {
			if (!m.path("role").isTextual() || !m.path("content").isTextual()) {
				throw malformed("Each message needs a string \"role\" and a string \"content\".");
			}
			b.append(m.path("role").textValue()).append('\n').append(m.path("content").textValue()).append('\n');
		}
		return b.toString();
	}

	/**
	 * Hashes the leading whole blocks of a prompt.
	 * @param text the prompt in UTF-8
	 * @return the hashes, each covering all blocks before it
	 */
	public static long[] blocks(byte[] text) {
		long[] blocks = new long[text.length / BLOCK_BYTES];
		long h = 0;
		for (int i = 0; i < blocks.length; i++) {
			h = LongHashFunction.xx(h).hashBytes(text, i * BLOCK_BYTES, BLOCK_BYTES);
			blocks[i] = h;
		}
		return blocks;
	}

	/**
	 * Hashes a customer's body, the same for each resend.
	 * @param customer the customer
	 * @param body the body
	 * @return the hash
	 */
	public static long fingerprint(String customer, byte[] body) {
		return LongHashFunction.xx(LongHashFunction.xx().hashChars(customer)).hashBytes(body);
	}

	/**
	 * Returns the hash that the owner of the request is found by.
	 * @return the hash of the first block, or 0 if the prompt has no whole block
	 */
	public long prefix() {
		return (this.blocks.length > 0) ? this.blocks[0] : 0;
	}

	private static JsonNode parse(byte[] body) throws RefusedException {
		try {
			JsonNode root = READER.readTree(body);
			if (root == null || !root.isObject()) {
				throw malformed("The body must be a JSON object.");
			}
			return root;
		}
		catch (IOException ex) {
			throw malformed("The body is not JSON.");
		}
	}

	private static RefusedException malformed(String detail) {
		return RefusedException.notRun(RefusalCode.MALFORMED_REQUEST, detail);
	}

}
