package io.shallotspur.port;

/**
 * A token of an answer. Immutable.
 *
 * @param index the place of the token in the answer, from 0
 * @param text its text
 */
public record TokenChunk(long index, String text) {

}
