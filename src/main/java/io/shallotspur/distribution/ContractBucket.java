package io.shallotspur.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.shallotspur.contract.Contract;

/**
 * The value of one record in the key-value store: the contracts of all customers whose
 * names hash to this bucket, and the latest changes made to them. Immutable.
 * <p>
 * Invariant: each change increments the revision by one, and each contract carries the
 * revision of its own latest change.
 *
 * @param revision the number of changes so far
 * @param contracts the contracts, including tombstones
 * @param changes the latest changes, the newest last
 */
record ContractBucket(long revision, List<Contract> contracts, List<Change> changes) {

	static final ContractBucket EMPTY = new ContractBucket(0, List.of(), List.of());

	/**
	 * The outcome of a write whose response was lost is determined within seconds. A
	 * change could be missed only if this many other changes of the same bucket were made
	 * in that time.
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
		return this.changes.stream().filter((change) -> change.id().equals(id)).findFirst();
	}

	ContractBucket withChange(ContractChange change) {
		long nextRevision = this.revision + 1;
		List<Contract> updated = new ArrayList<>(this.contracts);
		updated.removeIf((c) -> c.customer().equals(change.contract().customer()));
		updated.add(change.contract().withRevision(nextRevision));
		List<Change> recorded = new ArrayList<>(this.changes);
		recorded.add(new Change(change.changeId(), nextRevision));
		return new ContractBucket(nextRevision, updated,
				recorded.subList(Math.max(0, recorded.size() - MAX_RECORDED_CHANGES), recorded.size()));
	}

	/**
	 * A change that took effect.
	 *
	 * @param id the change id assigned by its author
	 * @param revision the revision that the change created
	 */
	record Change(String id, long revision) {

		Change {
			Objects.requireNonNull(id);
		}

	}

}
