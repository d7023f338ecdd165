/**
 * Requests that reach an entry VM other than their owner, on their way between the two.
 */
@NullMarked
package io.shallotspur.node.forward;

import org.jspecify.annotations.NullMarked;
