/**
 * The settings file of an entry VM and of the stand-ins: types, defaults, and the reader
 * that checks every value before anything is started.
 */
@NullMarked
package io.shallotspur.cfg;

import org.jspecify.annotations.NullMarked;
