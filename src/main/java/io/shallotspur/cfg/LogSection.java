package io.shallotspur.cfg;

/**
 * What is logged, and how. Immutable.
 *
 * @param level the least severe level that is written
 * @param format {@code plain} or {@code json}
 */
public record LogSection(String level, String format) {

}
