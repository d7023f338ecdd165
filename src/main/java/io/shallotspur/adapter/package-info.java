/**
 * Adapters: what connects the ports to networks and files.
 */
@NullMarked
package io.shallotspur.adapter;

import org.jspecify.annotations.NullMarked;
