/**
 * The operators' routes: which upstream serves a host and path, and on what terms. Plain
 * immutable data; adapters decode their own formats into it.
 */
@NullMarked
package io.shallotspur.route;

import org.jspecify.annotations.NullMarked;
