package io.shallotspur.adapter.tunnel;

/**
 * Asks an entry VM for a connection to a worker. Immutable.
 *
 * @param vm the registration key of the VM that is asked. Only VMs that read the registry
 * know it, and a process that has taken over the address of that VM has another one
 * @param worker the id of the worker; the VM that is asked looks up its address
 */
public record TunnelRequest(String vm, String worker) {

}
