/**
 * What the core needs from the outside. Adapters implement these interfaces.
 */
@NullMarked
package io.shallotspur.port;

import org.jspecify.annotations.NullMarked;
