/**
 * The callers' HTTP: locate, model requests with and without streaming, plain calls.
 */
@NullMarked
package io.shallotspur.adapter.caller;

import org.jspecify.annotations.NullMarked;
