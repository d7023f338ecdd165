/**
 * What is known of the pace of workers, and the choice among workers that differ in it:
 * by expected finish time, from figures that other VMs' requests have outdated.
 */
@NullMarked
package io.shallotspur.pace;

import org.jspecify.annotations.NullMarked;
