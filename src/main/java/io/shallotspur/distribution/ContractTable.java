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
 * The newest revision of each contract that this VM has seen, with a tree of hashes to
 * compare two tables cheaply. Not thread-safe.
 * <p>
 * Invariant: a contract is only ever replaced by one with a higher revision, so nothing
 * that a partition, a stale watch or a late message brings can make a contract revert.
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
	 * Takes a contract if it is newer than the one held.
	 * @param c the contract, or its tombstone
	 * @return whether it was newer
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
	 * Returns the contracts in force.
	 * @return an immutable set, the same one until something changes
	 */
	public ContractSet snapshot() {
		ContractSet s = this.snapshot;
		if (s == null) {
			s = ContractSet.of(this.contracts.values());
			this.snapshot = s;
		}
		return s;
	}

	/**
	 * Returns all contracts, tombstones among them.
	 * @return a copy
	 */
	public List<Contract> all() {
		return List.copyOf(this.contracts.values());
	}

	/**
	 * Returns how many contracts are held, tombstones among them.
	 * @return the number
	 */
	public int size() {
		return this.contracts.size();
	}

	/**
	 * Returns the hash of everything.
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
		long[] g = new long[GROUP_COUNT];
		for (int i = 0; i < GROUP_COUNT; i++) {
			g[i] = HASH.hashLongs(leafDigests(i));
		}
		return g;
	}

	/**
	 * Returns the hashes of the leaves of a group.
	 * @param group the group
	 * @return {@link #LEAVES_PER_GROUP} hashes; empty if there is no such group
	 */
	public long[] leafDigests(int group) {
		if (group < 0 || group >= GROUP_COUNT) {
			return new long[0];
		}
		return Arrays.copyOfRange(this.leafDigests, group * LEAVES_PER_GROUP, (group + 1) * LEAVES_PER_GROUP);
	}

	/**
	 * Returns the contracts of a leaf.
	 * @param leaf the leaf, counted over all groups
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
