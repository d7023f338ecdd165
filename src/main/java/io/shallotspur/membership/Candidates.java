package io.shallotspur.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.jspecify.annotations.Nullable;

import io.shallotspur.port.VmEntry;

/**
 * The entry VMs that the VM list names. The list lags, so it only tells whom to try and
 * who is marked as leaving. Not thread-safe.
 */
final class Candidates {

	private final Map<String, VmEntry> entries = new HashMap<>();

	void set(List<VmEntry> list) {
		this.entries.clear();
		for (VmEntry e : list) {
			if (!e.peerAddress().isEmpty()) {
				this.entries.put(e.id(), e);
			}
		}
	}

	boolean isLeaving(String id) {
		VmEntry e = this.entries.get(id);
		return e != null && e.leaving();
	}

	/**
	 * Picks some of those that are not known to be alive, by chance.
	 * @param count how many at most
	 * @param selfId this VM, which is never picked
	 * @param table what is known
	 * @param random decides
	 * @return the members to try
	 */
	List<Member> pick(int count, String selfId, MemberTable table, Random random) {
		List<Member> l = new ArrayList<>();
		for (VmEntry e : this.entries.values()) {
			Member known = table.get(e.id());
			if (!e.id().equals(selfId) && (known == null || known.status() == MemberStatus.DEAD)) {
				l.add(member(e, known));
			}
		}
		l.sort((a, b) -> a.id().compareTo(b.id()));
		Collections.shuffle(l, random);
		return List.copyOf(l.subList(0, Math.min(count, l.size())));
	}

	private static Member member(VmEntry e, @Nullable Member known) {
		long incarnation = (known != null) ? known.incarnation() : 0;
		return new Member(e.id(), e.hall(), e.peerAddress(), e.callerAddress(), incarnation, MemberStatus.ALIVE);
	}

}
