/**
 * Gives orders to engines from a running node.
 */
@NullMarked
package io.shallotspur.node.order;

import org.jspecify.annotations.NullMarked;
