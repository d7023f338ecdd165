/**
 * The platform's key-value service over HTTP, and its client-side budget.
 */
@NullMarked
package io.shallotspur.adapter.store;

import org.jspecify.annotations.NullMarked;
