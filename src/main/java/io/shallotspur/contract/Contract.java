package io.shallotspur.contract;

import java.util.List;
import java.util.Optional;

/**
 * The terms of one customer. Immutable and freely shared; a change makes a new instance
 * with a higher revision.
 *
 * @param customer the customer's name
 * @param revision the version of the store record that this contract was read from; 0 if
 * it was read from a file
 * @param share the customer's part of the capacity when it is contended, over 0 and at
 * most 1
 * @param keyHashes SHA-256 hashes (lower-case hex) of the bearer tokens that name this
 * customer
 * @param classes the classes, by unique name
 * @param retired whether the contract is a tombstone: the customer is refused, and no
 * older revision may come back
 */
public record Contract(String customer, long revision, double share, List<String> keyHashes, List<RequestClass> classes,
		boolean retired) {

	public Contract {
		keyHashes = List.copyOf(keyHashes);
		classes = List.copyOf(classes);
	}

	/**
	 * Finds a class by name.
	 * @param name the name of the class
	 * @return the class, or empty if the contract has none of that name
	 */
	public Optional<RequestClass> findClass(String name) {
		return this.classes.stream().filter((c) -> c.name().equals(name)).findFirst();
	}

	/**
	 * Returns the same terms under another revision.
	 * @param revision the new revision
	 * @return a new contract
	 */
	public Contract withRevision(long revision) {
		return new Contract(this.customer, revision, this.share, this.keyHashes, this.classes, this.retired);
	}

	/**
	 * Returns the tombstone of this contract.
	 * @return a new contract that is retired
	 */
	public Contract toTombstone() {
		return new Contract(this.customer, this.revision, this.share, this.keyHashes, this.classes, true);
	}

}
