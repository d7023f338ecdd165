/**
 * The demonstration and the programs that take measurements.
 */
@NullMarked
package io.shallotspur.demo;

import org.jspecify.annotations.NullMarked;
