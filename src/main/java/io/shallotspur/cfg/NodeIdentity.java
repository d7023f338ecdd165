package io.shallotspur.cfg;

/**
 * Who this entry VM is. Immutable.
 *
 * @param id unique among the entry VMs
 * @param hall the hall it stands in
 * @param clusterId entry VMs of another cluster are turned away
 */
public record NodeIdentity(String id, String hall, String clusterId) {

}
