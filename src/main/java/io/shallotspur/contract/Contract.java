package io.shallotspur.contract;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The terms agreed with one customer. Immutable; each change creates a new instance with
 * a higher revision.
 *
 * @param customer the customer's name
 * @param revision the version of the store record that this contract was read from; 0 if
 * it was read from a file
 * @param share the customer's share of the capacity under contention, greater than 0 and
 * at most 1
 * @param keyHashes SHA-256 hashes (lower-case hex) of the bearer tokens that identify
 * this customer
 * @param classes the request classes; their names are unique
 * @param retired whether the contract is a tombstone: requests of the customer are
 * refused, and older revisions cannot reappear
 */
public record Contract(String customer, long revision, double share, List<String> keyHashes, List<RequestClass> classes,
		boolean retired) {

	public Contract {
		Objects.requireNonNull(customer);
		keyHashes = List.copyOf(keyHashes);
		classes = List.copyOf(classes);
	}

	/**
	 * Finds a class by name.
	 * @param name the name of the class
	 * @return the class, or empty if the contract has no class of that name
	 */
	public Optional<RequestClass> findClass(String name) {
		return this.classes.stream().filter((requestClass) -> requestClass.name().equals(name)).findFirst();
	}

	/**
	 * Returns this contract with another revision.
	 * @param revision the new revision
	 * @return a new contract
	 */
	public Contract withRevision(long revision) {
		return new Contract(this.customer, revision, this.share, this.keyHashes, this.classes, this.retired);
	}

	/**
	 * Returns the tombstone of this contract.
	 * @return a new contract that is marked as retired
	 */
	public Contract toTombstone() {
		return new Contract(this.customer, this.revision, this.share, this.keyHashes, this.classes, true);
	}

}
