package io.shallotspur.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The statements that are still passed on with probes, the least often sent first. Holds
 * at most one statement about a member. Not thread-safe.
 */
final class GossipQueue {

	private static final Comparator<Entry> LEAST_SENT = Comparator.comparingInt((Entry e) -> e.sent)
		.thenComparing((e) -> e.member.id());

	private final Map<String, Entry> entries = new HashMap<>();

	void add(Member m) {
		this.entries.put(m.id(), new Entry(m));
	}

	List<Member> next(int count, int transmissions) {
		List<Entry> l = new ArrayList<>(this.entries.values());
		l.sort(LEAST_SENT);
		List<Member> out = new ArrayList<>();
		for (Entry e : l.subList(0, Math.min(count, l.size()))) {
			out.add(e.member);
			e.sent++;
			if (e.sent >= transmissions) {
				this.entries.remove(e.member.id());
			}
		}
		return out;
	}

	private static final class Entry {

		private final Member member;

		private int sent;

		private Entry(Member member) {
			this.member = member;
		}

	}

}
