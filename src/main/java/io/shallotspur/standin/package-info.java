/**
 * Small stand-ins for what the operators run beside the router: model engines and plain
 * services, with real time behaviour and faults that can be called for.
 */
@NullMarked
package io.shallotspur.standin;

import org.jspecify.annotations.NullMarked;
