package io.shallotspur.route;

import org.jspecify.annotations.Nullable;

/**
 * What the operator says of an upstream. Immutable.
 *
 * @param name its name
 * @param connectionLimit connections that one worker takes from all callers together
 * @param engine its engines, or {@code null} for a plain upstream
 */
public record UpstreamSpec(String name, int connectionLimit, @Nullable EngineSpec engine) {

}
