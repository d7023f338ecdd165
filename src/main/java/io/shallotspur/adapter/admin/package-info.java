/**
 * The operators' HTTP.
 */
@NullMarked
package io.shallotspur.adapter.admin;

import org.jspecify.annotations.NullMarked;
