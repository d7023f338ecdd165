/**
 * Shares the workers of a model upstream out between prefill and decode: decides how many
 * of each the load needs and, on the one VM that holds the duty, has workers change over.
 * Decisions are pure; workers are reached through {@link StagePort}.
 */
@NullMarked
package io.shallotspur.stage;

import org.jspecify.annotations.NullMarked;
