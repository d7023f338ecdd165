package io.shallotspur.route;

import org.jspecify.annotations.Nullable;

/**
 * The configuration of an upstream. Immutable.
 *
 * @param name its name
 * @param connectionLimit maximum number of connections that a worker accepts from all
 * clients together
 * @param engine the properties of its engines, or {@code null} for a plain upstream
 */
public record UpstreamSpec(String name, int connectionLimit, @Nullable EngineSpec engine) {

}
