/**
 * Storage of contracts in the key-value store and their distribution to all entry VMs.
 */
@NullMarked
package io.shallotspur.distribution;

import org.jspecify.annotations.NullMarked;
