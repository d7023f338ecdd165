/**
 * Hand-written fakes that the tests of all parts share.
 */
@NullMarked
package io.shallotspur.testing;

import org.jspecify.annotations.NullMarked;
