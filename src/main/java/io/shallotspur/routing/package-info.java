/**
 * Partition of workers into cells and the state of each prefill and decode worker:
 * estimated costs, cached prefixes and reserved slots. The classes do no I/O and receive
 * the current time as an argument.
 */
@NullMarked
package io.shallotspur.routing;

import org.jspecify.annotations.NullMarked;
