/**
 * The platform's weight store over HTTP.
 */
@NullMarked
package io.shallotspur.adapter.weights;

import org.jspecify.annotations.NullMarked;
