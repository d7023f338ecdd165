/**
 * Tells peers which requests crash workers.
 */
@NullMarked
package io.shallotspur.node.quarantine;

import org.jspecify.annotations.NullMarked;
