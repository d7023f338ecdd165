/**
 * The record of whether customers' terms were kept, and the metrics of a node. Counting
 * and merging know no adapter and read no clock.
 */
@NullMarked
package io.shallotspur.record;

import org.jspecify.annotations.NullMarked;
