package io.shallotspur.node.cluster;

import io.shallotspur.distribution.ContractMessage;
import io.shallotspur.membership.MembershipMessage;
import io.shallotspur.port.MessageRegistry;

/**
 * The type numbers of the messages of this package. A number is never used again for
 * another type.
 */
public final class ClusterMessages {

	private static final int PING = 1;

	private static final int ACK = 2;

	private static final int PING_REQUEST = 3;

	private static final int GOSSIP = 4;

	private static final int SYNC_REQUEST = 5;

	private static final int SYNC_REPLY = 6;

	private static final int LOADS = 10;

	private static final int MARKS = 11;

	private static final int PUSH = 20;

	private static final int DIGEST_REQUEST = 21;

	private static final int DIGEST_REPLY = 22;

	private static final int LEAVES_REQUEST = 23;

	private static final int LEAVES_REPLY = 24;

	private static final int CONTRACTS_REQUEST = 25;

	private static final int CONTRACTS_REPLY = 26;

	private static final int SNAPSHOT_REQUEST = 27;

	private ClusterMessages() {
	}

	/**
	 * Registers the messages.
	 * @param registry takes them
	 * @param <R> the type of the registry
	 * @return the same registry
	 */
	public static <R extends MessageRegistry> R register(R registry) {
		registry.register(PING, MembershipMessage.Ping.class)
			.register(ACK, MembershipMessage.Ack.class)
			.register(PING_REQUEST, MembershipMessage.PingRequest.class)
			.register(GOSSIP, MembershipMessage.Gossip.class)
			.register(SYNC_REQUEST, MembershipMessage.SyncRequest.class)
			.register(SYNC_REPLY, MembershipMessage.SyncReply.class)
			.register(LOADS, ClusterNotice.Loads.class)
			.register(MARKS, ClusterNotice.Marks.class)
			.register(PUSH, ContractMessage.Push.class)
			.register(DIGEST_REQUEST, ContractMessage.DigestRequest.class)
			.register(DIGEST_REPLY, ContractMessage.DigestReply.class)
			.register(LEAVES_REQUEST, ContractMessage.LeavesRequest.class)
			.register(LEAVES_REPLY, ContractMessage.LeavesReply.class)
			.register(CONTRACTS_REQUEST, ContractMessage.ContractsRequest.class)
			.register(CONTRACTS_REPLY, ContractMessage.ContractsReply.class)
			.register(SNAPSHOT_REQUEST, ContractMessage.SnapshotRequest.class);
		return registry;
	}

}
