package io.shallotspur.membership;

import java.util.List;

import io.shallotspur.port.PeerMessage;

/**
 * The messages of the failure detector. All are immutable; type numbers 1 to 19.
 */
public sealed interface MembershipMessage extends PeerMessage {

	/**
	 * Asks for a sign of life.
	 *
	 * @param from who asks
	 * @param targetId who is meant; another VM may have taken over the address
	 * @param digest hash of all the sender knows
	 * @param updates statements to be passed on
	 */
	record Ping(Member from, String targetId, long digest, List<Member> updates) implements MembershipMessage {

		public Ping {
			updates = List.copyOf(updates);
		}

	}

	/**
	 * A sign of life.
	 *
	 * @param from who answers
	 * @param digest hash of all the sender knows
	 * @param updates statements to be passed on
	 */
	record Ack(Member from, long digest, List<Member> updates) implements MembershipMessage {

		public Ack {
			updates = List.copyOf(updates);
		}

	}

	/**
	 * Asks a member to probe another one, and to answer with its {@link Ack}.
	 *
	 * @param target who is to be probed
	 * @param ping the probe to pass on
	 */
	record PingRequest(Member target, Ping ping) implements MembershipMessage {

	}

	/**
	 * Passes on new statements at once.
	 *
	 * @param updates the statements
	 */
	record Gossip(List<Member> updates) implements MembershipMessage {

		public Gossip {
			updates = List.copyOf(updates);
		}

	}

	/**
	 * Asks for the members of the buckets that differ.
	 *
	 * @param digests one hash for each bucket
	 * @param from who asks
	 */
	record SyncRequest(long[] digests, Member from) implements MembershipMessage {

	}

	/**
	 * The members of the buckets that differ.
	 *
	 * @param members the statements
	 */
	record SyncReply(List<Member> members) implements MembershipMessage {

		public SyncReply {
			members = List.copyOf(members);
		}

	}

}
