/**
 * Balances the workers of a model upstream between the prefill and decode stages. Plans
 * how many workers each stage needs for the observed load and, on the VM that is the
 * leader, orders workers to change stage. Planning is free of side effects; workers are
 * called through {@link StagePort}.
 */
@NullMarked
package io.shallotspur.stage;

import org.jspecify.annotations.NullMarked;
