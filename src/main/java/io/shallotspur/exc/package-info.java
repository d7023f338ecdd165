/**
 * The checked exceptions of the project: one root, and one subtype for each kind of
 * failure that a caller of our code may want to tell apart.
 */
@NullMarked
package io.shallotspur.exc;

import org.jspecify.annotations.NullMarked;
