/**
 * Builds an entry VM from its settings: the one place that knows every port, its adapter
 * and the order in which parts start.
 */
@NullMarked
package io.shallotspur.boot;

import org.jspecify.annotations.NullMarked;
