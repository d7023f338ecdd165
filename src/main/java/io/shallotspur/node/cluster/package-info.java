/**
 * What the entry VMs do together: membership, contracts in force everywhere, ownership,
 * locate and drain, run over the peer links and the platform's services.
 */
@NullMarked
package io.shallotspur.node.cluster;

import org.jspecify.annotations.NullMarked;
