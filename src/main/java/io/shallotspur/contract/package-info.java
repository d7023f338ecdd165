/**
 * Contracts between an operator and its customers. All limits that the router enforces
 * are derived from these types.
 */
@NullMarked
package io.shallotspur.contract;

import org.jspecify.annotations.NullMarked;
