package io.shallotspur.gateway;

/**
 * A header field that is relayed unchanged. Immutable.
 *
 * @param name the name as received
 * @param value the value as received
 */
public record HeaderField(String name, String value) {

}
