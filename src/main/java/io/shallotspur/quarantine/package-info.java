/**
 * Detection and quarantine of requests that crash their workers, and the messages by
 * which nodes exchange suspects.
 */
@NullMarked
package io.shallotspur.quarantine;

import org.jspecify.annotations.NullMarked;
