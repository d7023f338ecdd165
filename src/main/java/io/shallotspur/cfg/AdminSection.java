package io.shallotspur.cfg;

/**
 * The operators' HTTP. Immutable.
 *
 * @param listen where operators connect
 * @param token the bearer token that operators present
 */
public record AdminSection(Endpoint listen, Secret token) {

}
