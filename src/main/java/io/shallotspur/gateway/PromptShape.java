package io.shallotspur.gateway;

import java.util.List;

/**
 * What a request says of its prompt. Immutable.
 *
 * @param promptTokens tokens of the prompt
 * @param maxOutputTokens most tokens of the answer
 * @param partIds the ids of the prompt's parts, in order; the last one belongs to the
 * request or its session alone
 */
public record PromptShape(int promptTokens, int maxOutputTokens, List<String> partIds) {

	/**
	 * Creates a shape; the list is copied.
	 */
	public PromptShape {
		partIds = List.copyOf(partIds);
	}

	/**
	 * Returns the memory that the request may come to need.
	 * @return tokens
	 */
	public int totalTokens() {
		return this.promptTokens + this.maxOutputTokens;
	}

}
