/**
 * What the HTTP adapters towards workers share.
 */
@NullMarked
package io.shallotspur.adapter.http;

import org.jspecify.annotations.NullMarked;
