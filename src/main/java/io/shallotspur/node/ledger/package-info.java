/**
 * The ledger of intents on a running node: group commit to the key-value service,
 * forwarding to the preferred node of a shard, and waiting for requests in flight.
 */
@NullMarked
package io.shallotspur.node.ledger;

import org.jspecify.annotations.NullMarked;
