package io.shallotspur.membership;

/**
 * A statement about one entry VM, as it is gossiped. Immutable. A statement with a higher
 * incarnation replaces one with a lower; only the member itself raises its incarnation.
 *
 * @param id the name of the VM
 * @param hall the hall it stands in
 * @param peerAddress {@code host:port} for other entry VMs
 * @param callerAddress {@code host:port} for callers
 * @param incarnation start time of the process in milliseconds, raised by one with each
 * refutation
 * @param status what is said of it
 */
public record Member(String id, String hall, String peerAddress, String callerAddress, long incarnation,
		MemberStatus status) {

	/**
	 * Returns the same member with another status.
	 * @param status the status
	 * @return a new statement
	 */
	public Member withStatus(MemberStatus status) {
		return new Member(this.id, this.hall, this.peerAddress, this.callerAddress, this.incarnation, status);
	}

	/**
	 * Returns the same member, alive in another incarnation.
	 * @param incarnation the incarnation
	 * @return a new statement
	 */
	public Member withIncarnation(long incarnation) {
		return new Member(this.id, this.hall, this.peerAddress, this.callerAddress, incarnation, MemberStatus.ALIVE);
	}

	/**
	 * Tells whether this statement replaces another one about the same member.
	 * @param other the other statement
	 * @return {@code true} if this one is newer
	 */
	public boolean replaces(Member other) {
		if (this.incarnation != other.incarnation) {
			return this.incarnation > other.incarnation;
		}
		return this.status.compareTo(other.status) > 0;
	}

}
