/**
 * One entry VM at run time: it feeds events to the decisions, carries out their actions
 * through the ports, and relays answers to callers. It knows no adapter.
 */
@NullMarked
package io.shallotspur.node;

import org.jspecify.annotations.NullMarked;
