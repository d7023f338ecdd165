/**
 * Enforcement of the quotas of customers: what each VM may admit of a quota that holds
 * for all VMs together, to which of a customer's ranks it goes, and how customers share
 * workers that are short.
 */
@NullMarked
package io.shallotspur.quota;

import org.jspecify.annotations.NullMarked;
