package io.shallotspur.route;

/**
 * One upstream of a route and its part of the route's requests. Immutable.
 *
 * @param upstream the upstream's name
 * @param weight its part, relative to the other targets of the route; not negative
 */
public record RouteTarget(String upstream, double weight) {

}
