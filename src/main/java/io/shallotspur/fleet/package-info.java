/**
 * The upstreams the router places work on, and their workers.
 */
@NullMarked
package io.shallotspur.fleet;

import org.jspecify.annotations.NullMarked;
