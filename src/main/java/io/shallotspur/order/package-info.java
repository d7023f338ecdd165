/**
 * Decides when this node may send an order (load, unload or change of role) to an engine.
 * Orders are sent under a lease in the key-value store; engines that do not check fencing
 * tokens need an additional delay after a change of lease holder.
 */
@NullMarked
package io.shallotspur.order;

import org.jspecify.annotations.NullMarked;
