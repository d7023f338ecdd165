/**
 * Connections to workers through another entry VM, for a VM that has lost its own network
 * path to them.
 */
@NullMarked
package io.shallotspur.adapter.tunnel;

import org.jspecify.annotations.NullMarked;
