package io.shallotspur.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The members as one VM sees them at one moment. Immutable and freely shared.
 * <p>
 * Invariant: {@link #live()} holds this VM only while it may own something; a VM that was
 * paused or declared dead is left out of its own view until a peer has heard of its new
 * incarnation.
 *
 * @param self this VM
 * @param live the members that take work, in order of their ids
 * @param leaving the members that finish what they have, in order of their ids
 * @param version rises by one with each view of this VM
 */
public record View(Member self, List<Member> live, List<Member> leaving, long version) {

	private static final Comparator<Member> BY_ID = Comparator.comparing(Member::id);

	public View {
		live = live.stream().sorted(BY_ID).toList();
		leaving = leaving.stream().sorted(BY_ID).toList();
	}

	/**
	 * Returns the owner of a cell, a ledger shard or anything else that has a name.
	 * @param name the name
	 * @return the owner, or empty if no member is live
	 */
	public Optional<Member> owner(String name) {
		return Rendezvous.best(name, this.live);
	}

	/**
	 * Returns the first owners of a name in order of preference.
	 * @param name the name
	 * @param count how many
	 * @return at most that many members
	 */
	public List<Member> owners(String name, int count) {
		return Rendezvous.best(name, this.live, count);
	}

	/**
	 * Tells whether this VM owns a name.
	 * @param name the name
	 * @return {@code true} if it is the owner in this view
	 */
	public boolean owns(String name) {
		return owner(name).filter((m) -> m.id().equals(this.self.id())).isPresent();
	}

	/**
	 * Finds a member, live or leaving.
	 * @param id the name of the VM
	 * @return the member, or empty if it is in neither list
	 */
	public Optional<Member> find(String id) {
		for (List<Member> l : List.of(this.live, this.leaving)) {
			for (Member m : l) {
				if (m.id().equals(id)) {
					return Optional.of(m);
				}
			}
		}
		return Optional.empty();
	}

}
