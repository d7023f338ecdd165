package io.shallotspur.gateway;

/**
 * Where the stream of a request began, as told to other VMs. Immutable.
 *
 * @param request the id of the request that brought the first event
 * @param origin where the stream began
 * @param ttlMs for how much longer its caller may resume it, in milliseconds
 */
public record KnownOrigin(String request, StreamOrigin origin, long ttlMs) {

}
