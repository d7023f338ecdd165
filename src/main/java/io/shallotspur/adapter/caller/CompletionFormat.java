package io.shallotspur.adapter.caller;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
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

	private final String id;

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
		this.id = id;
		String object = chat ? "chat.completion.chunk" : "text_completion";
		this.head = "{\"id\":\"" + id + "\",\"object\":\"" + object + "\",\"created\":" + created;
		String open = chat ? "\"delta\":{\"content\":\"" : "\"text\":\"";
		this.prefix = ascii("\ndata: " + this.head + ",\"choices\":[{\"index\":0," + open);
		this.suffix = ascii((chat ? "\"}" : "\"") + ",\"finish_reason\":null}]}\n\n");
	}

	/**
	 * Writes the event of a part.
	 * @param part the part
	 * @param alloc gives the buffer
	 * @return the event
	 */
	ByteBuf event(AnswerPart part, ByteBufAllocator alloc) {
		if (part instanceof AnswerPart.Token t) {
			return token(t, alloc);
		}
		String empty = this.chat ? "\"delta\":{\"role\":\"assistant\",\"content\":\"\"}" : "\"text\":\"\"";
		String token = ((AnswerPart.Started) part).resumeToken();
		return ByteBufUtil.writeUtf8(alloc, "data: " + this.head + ",\"shallotspur_resume\":\"" + token
				+ "\",\"choices\":[{\"index\":0," + empty + ",\"finish_reason\":null}]}\n\n");
	}

	/**
	 * Writes the end of a whole answer.
	 * @param alloc gives the buffer
	 * @return the last events
	 */
	ByteBuf done(ByteBufAllocator alloc) {
		String empty = this.chat ? "\"delta\":{}" : "\"text\":\"\"";
		ByteBuf b = alloc.buffer();
		b.writeCharSequence(
				"data: " + this.head + ",\"choices\":[{\"index\":0," + empty + ",\"finish_reason\":\"stop\"}]}\n\n",
				StandardCharsets.UTF_8);
		return b.writeBytes(DONE);
	}

	/**
	 * Writes the end of an answer that is not whole. It has an event type of its own and
	 * no {@code [DONE]}, so that the answer cannot be taken for a whole one.
	 * @param r what the caller is told
	 * @param alloc gives the buffer
	 * @return the last event
	 */
	ByteBuf error(Refusal r, ByteBufAllocator alloc) {
		return alloc.buffer().writeBytes(ERROR).writeBytes(Problem.of(r).toJson()).writeBytes(END);
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

	/**
	 * Returns the name of the answer.
	 * @return the id
	 */
	String id() {
		return this.id;
	}

	private ByteBuf token(AnswerPart.Token t, ByteBufAllocator alloc) {
		String text = t.text();
		ByteBuf b = alloc.buffer(this.prefix.length + this.suffix.length + EVENT_BYTES + text.length());
		b.writeBytes(ID);
		writeDecimal(b, t.index());
		b.writeBytes(this.prefix);
		if (isPlain(text)) {
			ByteBufUtil.writeAscii(b, text);
		}
		else {
			b.writeBytes(JsonStringEncoder.getInstance().quoteAsUTF8(text));
		}
		return b.writeBytes(this.suffix);
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
