/**
 * Requests that crash what runs them: who is suspected, who is refused, and what peers
 * tell each other about it.
 */
@NullMarked
package io.shallotspur.quarantine;

import org.jspecify.annotations.NullMarked;
