/**
 * Where work runs: learnt costs, cached prefixes, reservations, and the choice of prefill
 * and decode worker. Pure state; the present time is an argument.
 */
@NullMarked
package io.shallotspur.routing;

import org.jspecify.annotations.NullMarked;
