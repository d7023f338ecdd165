/**
 * Ledger of intents, which ensures that each request with an idempotency key runs at most
 * once. An intent is written to the platform's store by compare-and-swap before the
 * request is dispatched.
 */
@NullMarked
package io.shallotspur.ledger;

import org.jspecify.annotations.NullMarked;
