package io.shallotspur.gateway;

/**
 * What a worker said of its load beside an answer. Immutable.
 *
 * @param running requests it works on
 * @param waiting requests in its queue
 * @param slots requests it works on at once
 */
public record LoadReport(int running, int waiting, int slots) {

}
