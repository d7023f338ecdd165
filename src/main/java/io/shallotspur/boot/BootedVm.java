package io.shallotspur.boot;

import io.shallotspur.node.EntryVm;
import io.shallotspur.node.cluster.ClusterService;

/**
 * An entry VM as built from its settings. Immutable.
 *
 * @param vm the VM, not started
 * @param cluster what it does together with the others
 * @param drainGraceMs requests that last longer are ended when the VM leaves, in
 * milliseconds
 */
public record BootedVm(EntryVm vm, ClusterService cluster, long drainGraceMs) {

}
