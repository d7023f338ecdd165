/**
 * Selection of the entry VMs that a caller should use. Workers are partitioned into
 * cells, each cell is owned by one of the live entry VMs, and each customer is assigned a
 * preferred subset of the cells.
 */
@NullMarked
package io.shallotspur.locate;

import org.jspecify.annotations.NullMarked;
