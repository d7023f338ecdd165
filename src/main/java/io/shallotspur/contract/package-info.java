/**
 * Contracts between an operator and its customers. Every limit the router applies is
 * derived from the types in this package.
 */
@NullMarked
package io.shallotspur.contract;

import org.jspecify.annotations.NullMarked;
