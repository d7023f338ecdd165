/**
 * The workers to which the router dispatches requests, and their roles.
 */
@NullMarked
package io.shallotspur.fleet;

import org.jspecify.annotations.NullMarked;
