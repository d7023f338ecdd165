/**
 * When an order to an engine may be given: under a lease of the key-value service, and
 * with care for engines that do not check who orders.
 */
@NullMarked
package io.shallotspur.order;

import org.jspecify.annotations.NullMarked;
