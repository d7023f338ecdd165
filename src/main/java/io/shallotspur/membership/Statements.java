package io.shallotspur.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.jspecify.annotations.Nullable;

/**
 * All that one VM has heard, what of it is still to be passed on, and until when suspects
 * may refute. Not thread-safe.
 */
final class Statements {

	private final MembershipSettings settings;

	private final Random random;

	private final MemberTable table = new MemberTable();

	private final GossipQueue queue = new GossipQueue();

	private final Map<String, Long> suspectUntil = new HashMap<>();

	private final Map<String, Long> deadSince = new HashMap<>();

	private final List<Member> fresh = new ArrayList<>();

	private final List<String> order = new ArrayList<>();

	private boolean changed = true;

	Statements(MembershipSettings settings, Random random) {
		this.settings = settings;
		this.random = random;
	}

	MemberTable table() {
		return this.table;
	}

	/**
	 * Records what this VM says of itself.
	 * @param m the statement
	 */
	void speak(Member m) {
		this.table.put(m);
		this.queue.add(m);
		this.fresh.add(m);
		this.changed = true;
	}

	/**
	 * Records a statement about another VM if it is news.
	 * @param m the statement
	 * @param now the present time in milliseconds
	 */
	void hear(Member m, long now) {
		Member old = this.table.get(m.id());
		boolean news = (old != null) ? m.replaces(old) : m.status() != MemberStatus.DEAD;
		if (news) {
			state(m, now);
		}
	}

	/**
	 * Records a statement about another VM.
	 * @param m the statement
	 * @param now the present time in milliseconds
	 */
	void state(Member m, long now) {
		speak(m);
		this.suspectUntil.remove(m.id());
		this.deadSince.remove(m.id());
		if (m.status() == MemberStatus.SUSPECT) {
			this.suspectUntil.put(m.id(), now + this.settings.suspicionMs(this.table.size()));
		}
		else if (m.status() == MemberStatus.DEAD) {
			this.deadSince.put(m.id(), now);
		}
	}

	/**
	 * Draws the conclusion from a probe that nobody answered.
	 * @param p the member as it was when it was probed
	 * @param now the present time in milliseconds
	 */
	void unanswered(Member p, long now) {
		Member m = this.table.get(p.id());
		if (m == null || m.incarnation() != p.incarnation()) {
			return;
		}
		if (m.status() == MemberStatus.ALIVE) {
			state(m.withStatus(MemberStatus.SUSPECT), now);
		}
		else if (m.status() == MemberStatus.LEAVING) {
			// It said that it would go.
			state(m.withStatus(MemberStatus.DEAD), now);
		}
	}

	/**
	 * Gives all suspects more time.
	 * @param ms how much, in milliseconds
	 */
	void prolong(long ms) {
		this.suspectUntil.replaceAll((id, until) -> until + ms);
	}

	/**
	 * Declares suspects dead whose time is up, and forgets the long dead.
	 * @param now the present time in milliseconds
	 */
	void expire(long now) {
		for (Map.Entry<String, Long> e : List.copyOf(this.suspectUntil.entrySet())) {
			Member m = this.table.get(e.getKey());
			if (m != null && now >= e.getValue()) {
				state(m.withStatus(MemberStatus.DEAD), now);
			}
		}
		this.deadSince.entrySet().removeIf((e) -> {
			boolean old = now >= e.getValue() + this.settings.forgetMs();
			if (old) {
				this.table.remove(e.getKey());
			}
			return old;
		});
	}

	/**
	 * Returns the members that are not dead, but for one.
	 * @param selfId the one
	 * @return the members in no particular order
	 */
	List<Member> others(String selfId) {
		List<Member> l = new ArrayList<>();
		for (Member m : this.table.all()) {
			if (m.status() != MemberStatus.DEAD && !m.id().equals(selfId)) {
				l.add(m);
			}
		}
		return l;
	}

	/**
	 * Picks members that are not dead, by chance.
	 * @param count how many at most
	 * @param selfId not this one
	 * @param except nor that one
	 * @return the members
	 */
	List<Member> pick(int count, String selfId, String except) {
		List<Member> l = others(selfId);
		l.removeIf((m) -> m.id().equals(except));
		l.sort((a, b) -> a.id().compareTo(b.id()));
		Collections.shuffle(l, this.random);
		return List.copyOf(l.subList(0, Math.min(count, l.size())));
	}

	/**
	 * Returns the next member to probe: each once in a random order, then in another one,
	 * so that the time until a given member is probed is bounded.
	 * @param selfId this VM
	 * @return the member, or {@code null} if there is none
	 */
	@Nullable Member nextToProbe(String selfId) {
		while (!this.order.isEmpty()) {
			Member m = this.table.get(this.order.remove(this.order.size() - 1));
			if (m != null && m.status() != MemberStatus.DEAD) {
				return m;
			}
		}
		others(selfId).forEach((m) -> this.order.add(m.id()));
		Collections.sort(this.order);
		Collections.shuffle(this.order, this.random);
		return this.order.isEmpty() ? null : this.table.get(this.order.remove(this.order.size() - 1));
	}

	/**
	 * Builds the view of the present moment.
	 * @param self this VM
	 * @param outside whether this VM must own nothing
	 * @param candidates the VM list, which may mark members as leaving
	 * @param version the version of the view
	 * @return an immutable view
	 */
	View view(Member self, boolean outside, Candidates candidates, long version) {
		List<Member> live = new ArrayList<>();
		List<Member> leaving = new ArrayList<>();
		for (Member m : this.table.all()) {
			if (m.status() == MemberStatus.DEAD || (outside && m.id().equals(self.id()))) {
				continue;
			}
			boolean goes = m.status() == MemberStatus.LEAVING || candidates.isLeaving(m.id());
			(goes ? leaving : live).add(m);
		}
		return new View(self, live, leaving, version);
	}

	/**
	 * Returns statements to be passed on to a member.
	 * @param id the member
	 * @return a bounded number of statements
	 */
	List<Member> updatesFor(String id) {
		int times = this.settings.transmissions(this.table.size());
		List<Member> l = new ArrayList<>(this.queue.next(this.settings.maxUpdates(), times));
		Member m = this.table.get(id);
		// The accused must hear the accusation, or it cannot refute.
		if (m != null && m.status() != MemberStatus.ALIVE && !l.contains(m)) {
			l.add(m);
		}
		return l;
	}

	/**
	 * Returns the last of the statements that were recorded since the last call.
	 * @return a bounded number of statements, empty if there is no news
	 */
	List<Member> takeFresh() {
		int count = Math.min(this.settings.maxUpdates(), this.fresh.size());
		List<Member> l = List.copyOf(this.fresh.subList(this.fresh.size() - count, this.fresh.size()));
		this.fresh.clear();
		return l;
	}

	/**
	 * Keeps statements about others from being pushed, because they came from a table
	 * that others know already.
	 * @param selfId this VM
	 */
	void dropFreshOfOthers(String selfId) {
		this.fresh.removeIf((m) -> !m.id().equals(selfId));
	}

	/**
	 * Tells whether anything was recorded since the last call.
	 * @return {@code true} if so
	 */
	boolean takeChanged() {
		boolean c = this.changed;
		this.changed = false;
		return c;
	}

	void markChanged() {
		this.changed = true;
	}

	@Nullable Member get(String id) {
		return this.table.get(id);
	}

}
