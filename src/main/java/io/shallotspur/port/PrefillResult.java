package io.shallotspur.port;

/**
 * The end of a prefill. Immutable.
 *
 * @param promptTokens the tokens of the whole prompt
 * @param computedTokens those of them that were not in the prefix cache
 */
public record PrefillResult(int promptTokens, int computedTokens) {

}
