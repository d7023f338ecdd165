package io.shallotspur.adapter.caller;

import io.shallotspur.node.AnswerPart;

/**
 * Collects an answer that is not streamed. Confined to one subscription.
 */
final class WholeAnswer {

	private final int limit;

	private final StringBuilder text = new StringBuilder();

	private long tokens;

	WholeAnswer(int limit) {
		this.limit = limit;
	}

	void take(AnswerPart part) {
		if (part instanceof AnswerPart.Token t) {
			this.text.append(t.text());
			this.tokens++;
		}
	}

	boolean isOverLimit() {
		return this.text.length() > this.limit;
	}

	String text() {
		return this.text.toString();
	}

	long tokens() {
		return this.tokens;
	}

}
