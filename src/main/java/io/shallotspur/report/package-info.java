/**
 * Reports to operators and their customers whether terms were kept.
 */
@NullMarked
package io.shallotspur.report;

import org.jspecify.annotations.NullMarked;
