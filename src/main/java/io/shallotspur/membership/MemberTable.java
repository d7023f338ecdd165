package io.shallotspur.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;

/**
 * The newest statement about each member, with hashes to compare two tables cheaply. Not
 * thread-safe.
 */
final class MemberTable {

	static final int BUCKETS = 64;

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private final Map<String, Member> members = new HashMap<>();

	private final long[] digests = new long[BUCKETS];

	@Nullable Member get(String id) {
		return this.members.get(id);
	}

	Collection<Member> all() {
		return this.members.values();
	}

	int size() {
		return this.members.size();
	}

	void put(Member m) {
		Member old = this.members.put(m.id(), m);
		int b = bucket(m.id());
		this.digests[b] ^= digest(m) ^ ((old != null) ? digest(old) : 0);
	}

	void remove(String id) {
		Member old = this.members.remove(id);
		if (old != null) {
			this.digests[bucket(id)] ^= digest(old);
		}
	}

	long digest() {
		return HASH.hashLongs(this.digests);
	}

	long[] digests() {
		return this.digests.clone();
	}

	/**
	 * Returns what another table may lack.
	 * @param others the hashes of the other table
	 * @return the statements of all buckets that differ
	 */
	List<Member> differing(long[] others) {
		List<Member> l = new ArrayList<>();
		for (Member m : this.members.values()) {
			int b = bucket(m.id());
			if (others.length != BUCKETS || others[b] != this.digests[b]) {
				l.add(m);
			}
		}
		return l;
	}

	private static int bucket(String id) {
		return (int) Math.floorMod(HASH.hashChars(id), (long) BUCKETS);
	}

	// The dead are forgotten at each VM by its own clock, and a suspicion passes within
	// seconds. Both would make tables differ that need no repair.
	private static long digest(Member m) {
		return switch (m.status()) {
			case DEAD -> 0;
			case ALIVE, SUSPECT -> HASH.hashChars(m.id()) + HASH.hashLong(m.incarnation());
			case LEAVING -> HASH.hashChars(m.id()) + HASH.hashLong(~m.incarnation());
		};
	}

}
