package io.shallotspur.gateway;

/**
 * What a request says of its prompt. Immutable.
 *
 * @param promptTokens tokens of the prompt
 * @param maxOutputTokens most tokens of the answer
 * @param expectedOutputTokens the caller's estimate of the tokens of the answer; right at
 * the median and often far off
 */
public record PromptInfo(int promptTokens, int maxOutputTokens, int expectedOutputTokens) {

}
