/**
 * What runs next: fair queueing between customers, retry budgets, and the split of a
 * customer's share over cells. Pure state; the present time is an argument.
 */
@NullMarked
package io.shallotspur.admission;

import org.jspecify.annotations.NullMarked;
