/**
 * The model engines over HTTP and JSON. The protocol is this project's own and serves its
 * stand-ins; an operator's engines get an adapter of their own beside this one.
 */
@NullMarked
package io.shallotspur.adapter.engine;

import org.jspecify.annotations.NullMarked;
