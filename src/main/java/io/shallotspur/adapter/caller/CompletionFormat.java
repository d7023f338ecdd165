package io.shallotspur.adapter.caller;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;

import io.shallotspur.node.AnswerPart;
import io.shallotspur.outcome.Refusal;

/**
 * Writes answers in the OpenAI-compatible forms. Immutable. What is the same in each
 * token's event is encoded once per request; no JSON tree is built for a token.
 */
final class CompletionFormat {

	private static final byte[] ID = ascii("id: ");

	private static final byte[] DONE = ascii("data: [DONE]\n\n");

	private static final byte[] ERROR = ascii("event: error\ndata: ");

	private static final byte[] END = ascii("\n\n");

	private static final int EVENT_BYTES = 64;

	private final boolean chat;

	private final String head;

	private final byte[] prefix;

	private final byte[] suffix;

	/**
	 * Creates the format of one answer.
	 * @param chat whether it is a chat completion
	 * @param id names the answer
	 * @param created when it was asked for, in seconds since 1970
	 */
	CompletionFormat(boolean chat, String id, long created) {
		this.chat = chat;
		String object = chat ? "chat.completion.chunk" : "text_completion";
		this.head = "{\"id\":\"" + id + "\",\"object\":\"" + object + "\",\"created\":" + created;
		String open = chat ? "\"delta\":{\"content\":\"" : "\"text\":\"";
		this.prefix = ascii("\ndata: " + this.head + ",\"choices\":[{\"index\":0," + open);
		this.suffix = ascii((chat ? "\"}" : "\"") + ",\"finish_reason\":null}]}\n\n");
	}

	/**
	 * Writes the event of a part.
	 * @param part the part
	 * @param b takes the event
	 */
	void write(AnswerPart part, ByteBuf b) {
		if (part instanceof AnswerPart.Token t) {
			writeToken(t, b);
			return;
		}
		String empty = this.chat ? "\"delta\":{\"role\":\"assistant\",\"content\":\"\"}" : "\"text\":\"\"";
		String token = ((AnswerPart.Started) part).resumeToken();
		b.writeCharSequence("data: " + this.head + ",\"shallotspur_resume\":\"" + token
				+ "\",\"choices\":[{\"index\":0," + empty + ",\"finish_reason\":null}]}\n\n", StandardCharsets.UTF_8);
	}

	/**
	 * Writes the end of a whole answer.
	 * @param b takes the last events
	 */
	void writeDone(ByteBuf b) {
		String empty = this.chat ? "\"delta\":{}" : "\"text\":\"\"";
		b.writeCharSequence(
				"data: " + this.head + ",\"choices\":[{\"index\":0," + empty + ",\"finish_reason\":\"stop\"}]}\n\n",
				StandardCharsets.UTF_8);
		b.writeBytes(DONE);
	}

	/**
	 * Writes the end of an answer that is not whole. It has an event type of its own and
	 * no {@code [DONE]}, so that the answer cannot be taken for a whole one.
	 * @param r what the caller is told
	 * @param b takes the last event
	 */
	void writeError(Refusal r, ByteBuf b) {
		b.writeBytes(ERROR).writeBytes(Problem.of(r).toJson()).writeBytes(END);
	}

	/**
	 * Writes a whole answer that is not streamed.
	 * @param text the text
	 * @param tokens the number of its tokens
	 * @return the JSON body
	 */
	byte[] whole(String text, long tokens) {
		ByteArrayOutputStream out = new ByteArrayOutputStream(text.length() + 2 * EVENT_BYTES);
		out.writeBytes(ascii(this.head.replace(".chunk", "") + ",\"choices\":[{\"index\":0,"
				+ (this.chat ? "\"message\":{\"role\":\"assistant\",\"content\":\"" : "\"text\":\"")));
		out.writeBytes(JsonStringEncoder.getInstance().quoteAsUTF8(text));
		out.writeBytes(ascii((this.chat ? "\"}" : "\"") + ",\"finish_reason\":\"stop\"}],"
				+ "\"usage\":{\"completion_tokens\":" + tokens + "}}"));
		return out.toByteArray();
	}

	private void writeToken(AnswerPart.Token t, ByteBuf b) {
		String text = t.text();
		b.writeBytes(ID);
		writeDecimal(b, t.index());
		b.writeBytes(this.prefix);
		if (isPlain(text)) {
			ByteBufUtil.writeAscii(b, text);
		}
		else {
			b.writeBytes(JsonStringEncoder.getInstance().quoteAsUTF8(text));
		}
		b.writeBytes(this.suffix);
	}

	private static boolean isPlain(String text) {
		for (int i = 0; i < text.length(); i++) {
			char c = text.charAt(i);
			if (c < ' ' || c > '~' || c == '"' || c == '\\') {
				return false;
			}
		}
		return true;
	}

	private static void writeDecimal(ByteBuf b, long n) {
		if (n >= 10) {
			writeDecimal(b, n / 10);
		}
		b.writeByte((int) ('0' + n % 10));
	}

	private static byte[] ascii(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
