/**
 * Tokens with which a caller can fetch the rest of an answer through another entry VM.
 */
@NullMarked
package io.shallotspur.resume;

import org.jspecify.annotations.NullMarked;
