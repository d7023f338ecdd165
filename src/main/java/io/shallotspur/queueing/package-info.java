/**
 * The order in which requests of several priorities wait for capacity that is too small
 * for all of them: which is served next, which leaves free capacity to others for a
 * while, and which can no longer be served in time.
 */
@NullMarked
package io.shallotspur.queueing;

import org.jspecify.annotations.NullMarked;
