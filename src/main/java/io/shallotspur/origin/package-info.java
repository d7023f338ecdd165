/**
 * Where streams began, as VMs tell each other: a caller may resume its stream at any VM,
 * and the one that saw its beginning may have ended.
 */
@NullMarked
package io.shallotspur.origin;

import org.jspecify.annotations.NullMarked;
