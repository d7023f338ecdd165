package io.shallotspur.distribution;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;

import io.shallotspur.contract.Contract;
import io.shallotspur.contract.ContractSet;

/**
 * The newest revision of each contract known to this VM, with a hash tree for the
 * efficient comparison of two tables. The tree has three levels: the table, its groups
 * and their leaves. Not thread-safe.
 * <p>
 * Invariant: a contract is only ever replaced by one with a higher revision, so that no
 * partition, stale watch or delayed message can revert a contract.
 */
public final class ContractTable {

	/**
	 * Number of groups of leaves.
	 */
	public static final int GROUP_COUNT = 32;

	/**
	 * Number of leaves in each group.
	 */
	public static final int LEAVES_PER_GROUP = 32;

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private final Map<String, Contract> contracts = new HashMap<>();

	private final List<Map<String, Contract>> leaves = new ArrayList<>();

	private final long[] leafDigests = new long[GROUP_COUNT * LEAVES_PER_GROUP];

	private @Nullable ContractSet snapshot;

	/**
	 * Creates an empty table.
	 */
	public ContractTable() {
		for (int i = 0; i < this.leafDigests.length; i++) {
			this.leaves.add(new HashMap<>());
		}
	}

	/**
	 * Stores a contract if it is newer than the one in the table.
	 * @param c the contract or its tombstone
	 * @return whether the contract was stored
	 */
	public boolean updateIfNewer(Contract c) {
		Contract old = this.contracts.get(c.customer());
		if (old != null && old.revision() >= c.revision()) {
			return false;
		}
		int leaf = leafIndex(c.customer());
		this.contracts.put(c.customer(), c);
		this.leaves.get(leaf).put(c.customer(), c);
		this.leafDigests[leaf] ^= digest(c) ^ ((old != null) ? digest(old) : 0);
		this.snapshot = null;
		return true;
	}

	/**
	 * Returns a snapshot of the contracts.
	 * @return an immutable set; the same instance until the table changes
	 */
	public ContractSet snapshot() {
		ContractSet set = this.snapshot;
		if (set == null) {
			set = ContractSet.of(this.contracts.values());
			this.snapshot = set;
		}
		return set;
	}

	/**
	 * Returns all contracts, including tombstones.
	 * @return a copy
	 */
	public List<Contract> all() {
		return List.copyOf(this.contracts.values());
	}

	/**
	 * Returns the number of contracts, including tombstones.
	 * @return the number of contracts
	 */
	public int size() {
		return this.contracts.size();
	}

	/**
	 * Returns the hash of the entire table.
	 * @return the hash
	 */
	public long digest() {
		return HASH.hashLongs(this.leafDigests);
	}

	/**
	 * Returns the hashes of the groups.
	 * @return {@link #GROUP_COUNT} hashes
	 */
	public long[] groupDigests() {
		long[] digests = new long[GROUP_COUNT];
		for (int i = 0; i < GROUP_COUNT; i++) {
			digests[i] = HASH.hashLongs(leafDigests(i));
		}
		return digests;
	}

	/**
	 * Returns the hashes of the leaves in a group.
	 * @param group the index of the group
	 * @return {@link #LEAVES_PER_GROUP} hashes; empty if there is no such group
	 */
	public long[] leafDigests(int group) {
		if (group < 0 || group >= GROUP_COUNT) {
			return new long[0];
		}
		return Arrays.copyOfRange(this.leafDigests, group * LEAVES_PER_GROUP, (group + 1) * LEAVES_PER_GROUP);
	}

	/**
	 * Returns the contracts in a leaf.
	 * @param leaf the index of the leaf, counted over all groups
	 * @return an unmodifiable view; empty if there is no such leaf
	 */
	public Collection<Contract> contractsInLeaf(int leaf) {
		return (leaf >= 0 && leaf < this.leafDigests.length) ? this.leaves.get(leaf).values() : List.of();
	}

	private static int leafIndex(String customer) {
		return (int) Math.floorMod(HASH.hashChars(customer), (long) GROUP_COUNT * LEAVES_PER_GROUP);
	}

	private static long digest(Contract c) {
		return HASH.hashLong(HASH.hashChars(c.customer()) + c.revision());
	}

}
