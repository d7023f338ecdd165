/**
 * Watches configuration, workers and entry VMs in the platform's key-value store, and
 * maintains this VM's own registration there. Independent of the store's protocol, which
 * is behind {@link Registry}.
 */
@NullMarked
package io.shallotspur.registry;

import org.jspecify.annotations.NullMarked;
