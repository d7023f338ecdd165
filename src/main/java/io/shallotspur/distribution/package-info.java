/**
 * How contracts are kept in the key-value service and spread to all entry VMs.
 */
@NullMarked
package io.shallotspur.distribution;

import org.jspecify.annotations.NullMarked;
