/**
 * What a caller is told at the end of its request, and whether the request was run.
 */
@NullMarked
package io.shallotspur.outcome;

import org.jspecify.annotations.NullMarked;
