/**
 * Plots as SVG.
 */
@NullMarked
package io.shallotspur.util.plot;

import org.jspecify.annotations.NullMarked;
