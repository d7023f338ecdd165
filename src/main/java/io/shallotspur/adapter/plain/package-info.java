/**
 * The plain services over HTTP.
 */
@NullMarked
package io.shallotspur.adapter.plain;

import org.jspecify.annotations.NullMarked;
