/**
 * The platform's VM list over HTTP.
 */
@NullMarked
package io.shallotspur.adapter.vmlist;

import org.jspecify.annotations.NullMarked;
