package io.shallotspur.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import net.openhft.hashing.LongHashFunction;

/**
 * Rendezvous hashing without weights: each name goes to the member with the highest hash
 * of name and member. A member that leaves gives away only its own names, and one that
 * joins takes only names that become its own. Stateless.
 */
public final class Rendezvous {

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private static final int ROTATION = 31;

	private Rendezvous() {
	}

	/**
	 * Returns the member that a name belongs to.
	 * @param name the name
	 * @param members the members
	 * @return the member, or empty if there is none
	 */
	public static Optional<Member> best(String name, Collection<Member> members) {
		long n = HASH.hashChars(name);
		Member best = null;
		long high = 0;
		for (Member m : members) {
			long s = score(n, m);
			if (best == null || s > high || (s == high && m.id().compareTo(best.id()) < 0)) {
				best = m;
				high = s;
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Returns the first members for a name in order of preference.
	 * @param name the name
	 * @param members the members
	 * @param count how many
	 * @return at most that many members
	 */
	public static List<Member> best(String name, Collection<Member> members, int count) {
		long n = HASH.hashChars(name);
		List<Member> l = new ArrayList<>(members);
		l.sort(Comparator.comparingLong((Member m) -> score(n, m)).reversed().thenComparing(Member::id));
		return List.copyOf(l.subList(0, Math.min(count, l.size())));
	}

	private static long score(long nameHash, Member m) {
		return HASH.hashLong(nameHash ^ Long.rotateLeft(HASH.hashChars(m.id()), ROTATION));
	}

}
