package io.shallotspur.route;

/**
 * An upstream of a route and its share of the route's traffic. Immutable.
 *
 * @param upstream the upstream's name
 * @param weight its weight relative to the other targets of the route; not negative
 */
public record RouteTarget(String upstream, double weight) {

}
