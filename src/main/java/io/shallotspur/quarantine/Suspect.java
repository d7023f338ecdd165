package io.shallotspur.quarantine;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * What may have caused crashes: a request, or a part that the prompts of several requests
 * share. Immutable.
 *
 * @param entry the crashes, under the fingerprint of the request or of the part
 * @param parts for a request the fingerprints of the shared parts of its prompt, in their
 * order; empty for a part
 * @param customers for a part its fingerprints in the prompts of the customers whose
 * requests were running at the crashes; empty for a request
 */
public record Suspect(SuspectEntry entry, List<Long> parts, Set<Long> customers) {

	/**
	 * A part at whose crashes requests of so many customers were running is refused to
	 * all: each further customer would lose another worker.
	 */
	public static final int MAX_CUSTOMERS = 3;

	/**
	 * Creates a suspect; list and set are copied, the set up to its bound.
	 */
	public Suspect {
		parts = List.copyOf(parts);
		customers = Set.copyOf(customers.stream().sorted().limit(MAX_CUSTOMERS).toList());
	}

	static Suspect request(SuspectEntry entry, List<Long> parts) {
		return new Suspect(entry, parts, Set.of());
	}

	static Suspect part(SuspectEntry entry, Set<Long> customers) {
		return new Suspect(entry, List.of(), customers);
	}

	/**
	 * Returns the fingerprint.
	 * @return the fingerprint of the request or the part
	 */
	public long fingerprint() {
		return this.entry.fingerprint();
	}

	/**
	 * Returns whether this is a part of prompts.
	 * @return {@code false} for a request
	 */
	public boolean isPart() {
		return !this.customers.isEmpty();
	}

	/**
	 * Returns whether the part is refused to a customer once it is quarantined: the
	 * prompts of others may name it, but a customer whose requests were never running at
	 * its crashes is not affected by them.
	 * @param ofCustomer the fingerprint of the part in the prompts of the customer
	 * @return {@code true} if a request of the customer was running at one of the crashes
	 */
	boolean concerns(long ofCustomer) {
		return this.customers.size() >= MAX_CUSTOMERS || this.customers.contains(ofCustomer);
	}

	Suspect withEntry(SuspectEntry updated) {
		return new Suspect(updated, this.parts, this.customers);
	}

	/**
	 * Merges what two nodes know. Idempotent and independent of the order, as the merging
	 * of the entries is.
	 * @param other the other node's suspect with the same fingerprint
	 * @param windowMs the largest difference between two observations of one crash, in
	 * milliseconds
	 * @return this instance if the other one adds nothing, otherwise a new one
	 */
	Suspect merge(Suspect other, long windowMs) {
		Set<Long> union = new LinkedHashSet<>(this.customers);
		union.addAll(other.customers);
		Suspect merged = new Suspect(this.entry.merge(other.entry, windowMs),
				this.parts.isEmpty() ? other.parts : this.parts, union);
		return merged.equals(this) ? this : merged;
	}

}
