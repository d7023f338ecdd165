package io.shallotspur.gateway;

/**
 * A reference to the KV cache that a prefill left at a worker. Immutable.
 *
 * @param worker the worker that holds it
 * @param handle its name there; can be used once
 */
public record KvSource(WorkerInfo worker, String handle) {

}
