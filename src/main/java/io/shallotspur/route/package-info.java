/**
 * The routing configuration: which upstream serves a host and path, and with which
 * limits. Immutable data without a serialization format; adapters convert their own
 * formats to it.
 */
@NullMarked
package io.shallotspur.route;

import org.jspecify.annotations.NullMarked;
