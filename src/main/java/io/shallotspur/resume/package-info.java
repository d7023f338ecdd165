/**
 * Signed tokens with which a caller can resume a streamed answer through another entry
 * VM.
 */
@NullMarked
package io.shallotspur.resume;

import org.jspecify.annotations.NullMarked;
