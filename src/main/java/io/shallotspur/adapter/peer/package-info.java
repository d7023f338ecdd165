/**
 * Links between entry VMs: TCP, length-prefixed MessagePack.
 */
@NullMarked
package io.shallotspur.adapter.peer;

import org.jspecify.annotations.NullMarked;
