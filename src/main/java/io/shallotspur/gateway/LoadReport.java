package io.shallotspur.gateway;

/**
 * The load that a worker reports along with a response. Immutable.
 *
 * @param running number of requests that it runs
 * @param waiting number of requests in its queue
 * @param slots number of requests that it runs concurrently at most
 */
public record LoadReport(int running, int waiting, int slots) {

}
