package io.shallotspur.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.shallotspur.contract.Contract;

/**
 * The value of one record of the key-value service: the contracts of all customers whose
 * names hash to it, and the last changes that were made. Immutable.
 * <p>
 * Invariant: the revision rises by one with each change, and each contract carries the
 * revision of its own last change.
 *
 * @param revision the number of changes so far
 * @param contracts the contracts, tombstones among them
 * @param changes the last changes, the newest at the end
 */
record ContractBucket(long revision, List<Contract> contracts, List<Change> changes) {

	static final ContractBucket EMPTY = new ContractBucket(0, List.of(), List.of());

	/**
	 * A lost answer is settled within seconds. To overlook its change it would take this
	 * many other changes of the same bucket meanwhile.
	 */
	private static final int MAX_RECORDED_CHANGES = 32;

	ContractBucket {
		contracts = List.copyOf(contracts);
		changes = List.copyOf(changes);
	}

	Optional<Contract> find(String customer) {
		return this.contracts.stream().filter((c) -> c.customer().equals(customer)).findFirst();
	}

	Optional<Change> findChange(String id) {
		return this.changes.stream().filter((c) -> c.id().equals(id)).findFirst();
	}

	ContractBucket withChange(ContractChange change) {
		long next = this.revision + 1;
		List<Contract> l = new ArrayList<>(this.contracts);
		l.removeIf((c) -> c.customer().equals(change.contract().customer()));
		l.add(change.contract().withRevision(next));
		List<Change> h = new ArrayList<>(this.changes);
		h.add(new Change(change.changeId(), next));
		return new ContractBucket(next, l, h.subList(Math.max(0, h.size() - MAX_RECORDED_CHANGES), h.size()));
	}

	/**
	 * A change that took effect.
	 *
	 * @param id the id its author gave it
	 * @param revision the revision it made
	 */
	record Change(String id, long revision) {

	}

}
