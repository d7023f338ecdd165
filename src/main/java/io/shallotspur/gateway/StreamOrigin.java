package io.shallotspur.gateway;

/**
 * Where a stream began. Immutable.
 *
 * @param upstream the upstream
 * @param version the version of the worker's software
 */
public record StreamOrigin(String upstream, String version) {

}
