package io.shallotspur.port;

/**
 * One machine on the VM list, either an entry VM or one that carries a worker. Immutable.
 *
 * @param id the name of the VM (for a worker: the worker's id)
 * @param hall the hall it stands in
 * @param peerAddress {@code host:port} for other entry VMs; empty for a worker
 * @param callerAddress {@code host:port} for callers; empty for a worker
 * @param leaving whether it is marked as leaving
 */
public record VmEntry(String id, String hall, String peerAddress, String callerAddress, boolean leaving) {

}
