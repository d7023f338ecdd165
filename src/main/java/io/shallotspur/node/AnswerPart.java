package io.shallotspur.node;

/**
 * A part of a model's answer on its way to the caller. Immutable.
 */
public sealed interface AnswerPart {

	/**
	 * A worker began to generate.
	 *
	 * @param resumeToken lets the caller get the rest from another entry VM; empty if it
	 * cannot be had
	 */
	record Started(String resumeToken) implements AnswerPart {

	}

	/**
	 * A token.
	 *
	 * @param index its place in the whole answer, from 0
	 * @param text its text
	 */
	record Token(long index, String text) implements AnswerPart {

	}

}
