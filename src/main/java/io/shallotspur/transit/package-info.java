/**
 * What is in transit between the sockets of an entry VM and its decisions: when bytes
 * that are read late can have arrived, and how much memory may be held for connections
 * that read slowly.
 */
@NullMarked
package io.shallotspur.transit;

import org.jspecify.annotations.NullMarked;
