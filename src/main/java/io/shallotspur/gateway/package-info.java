/**
 * Relays callers' requests to the workers of an upstream: routing, placement, attempts,
 * retries and streams. All state of one entry VM's relaying lives here and is confined to
 * one thread; what the outside looks like is behind {@link WorkerPort} and
 * {@link CallerResponse}.
 */
@NullMarked
package io.shallotspur.gateway;

import org.jspecify.annotations.NullMarked;
