/**
 * Which entry VM a caller should use: workers form cells, each cell has an owner among
 * the live entry VMs, and each customer uses some of the cells first.
 */
@NullMarked
package io.shallotspur.locate;

import org.jspecify.annotations.NullMarked;
