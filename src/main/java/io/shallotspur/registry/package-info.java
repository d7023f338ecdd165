/**
 * Follows what the platform's store says of configuration, workers and entry VMs, and
 * keeps this VM's own registration there. Knows no store protocol: that is behind
 * {@link Registry}.
 */
@NullMarked
package io.shallotspur.registry;

import org.jspecify.annotations.NullMarked;
