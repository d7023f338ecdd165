/**
 * Final result of a request as reported to the caller: whether the request was run, and
 * why it was refused.
 */
@NullMarked
package io.shallotspur.outcome;

import org.jspecify.annotations.NullMarked;
