/**
 * The record of intents that makes a request run at most once. An intent is in the
 * platform's store before the request is dispatched, written by compare-and-swap.
 */
@NullMarked
package io.shallotspur.ledger;

import org.jspecify.annotations.NullMarked;
