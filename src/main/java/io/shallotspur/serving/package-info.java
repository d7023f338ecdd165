/**
 * Decides which entry VMs callers are directed to: measures the load of a VM, selects as
 * many VMs as the reported load needs, and moves callers from overloaded VMs to others.
 */
@NullMarked
package io.shallotspur.serving;

import org.jspecify.annotations.NullMarked;
