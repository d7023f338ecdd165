/**
 * Relays callers' requests to the workers of an upstream: routing, worker selection,
 * attempts, retries and streams. All relay state of one entry VM is in this package and
 * is confined to one thread; {@link WorkerPort} and {@link CallerResponse} are the
 * interfaces to the outside.
 */
@NullMarked
package io.shallotspur.gateway;

import org.jspecify.annotations.NullMarked;
