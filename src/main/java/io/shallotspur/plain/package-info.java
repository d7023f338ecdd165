/**
 * Decisions about calls to plain services, as a state machine of events and actions.
 */
@NullMarked
package io.shallotspur.plain;

import org.jspecify.annotations.NullMarked;
