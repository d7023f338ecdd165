package io.shallotspur.registry;

/**
 * How soon a VM has to act on what the registry tells. Immutable.
 *
 * @param workerLeavesMs how long after a worker's entry tells that it leaves, or is gone,
 * the worker may still get requests, in milliseconds
 * @param configAppliesMs how long after a configuration is acknowledged an older one may
 * still be in force, in milliseconds
 */
public record ChangeBounds(long workerLeavesMs, long configAppliesMs) {

}
