package io.shallotspur.gateway;

/**
 * The token counts that a request declares. Immutable.
 *
 * @param promptTokens tokens of the prompt
 * @param maxOutputTokens largest number of output tokens
 * @param expectedOutputTokens the caller's estimate of the output tokens; correct at the
 * median and often far off
 */
public record PromptInfo(int promptTokens, int maxOutputTokens, int expectedOutputTokens) {

}
