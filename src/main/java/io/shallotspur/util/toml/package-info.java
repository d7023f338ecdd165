/**
 * Strict reading of TOML files that people write: every value is checked, and all
 * problems of a file are reported together.
 */
@NullMarked
package io.shallotspur.util.toml;

import org.jspecify.annotations.NullMarked;
