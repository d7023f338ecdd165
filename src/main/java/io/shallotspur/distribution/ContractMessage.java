package io.shallotspur.distribution;

import java.util.List;

import io.shallotspur.contract.Contract;
import io.shallotspur.port.PeerMessage;

/**
 * The messages that spread contracts. All are immutable; type numbers 20 to 39.
 */
public sealed interface ContractMessage extends PeerMessage {

	/**
	 * New contracts, passed on at once by those to whom they are news.
	 *
	 * @param contracts the contracts
	 */
	record Push(List<Contract> contracts) implements ContractMessage {

		public Push {
			contracts = List.copyOf(contracts);
		}

	}

	/**
	 * Asks whether two tables are equal.
	 *
	 * @param digest hash of the asker's table
	 */
	record DigestRequest(long digest) implements ContractMessage {

	}

	/**
	 * Tells whether two tables are equal.
	 *
	 * @param ready whether the table is complete
	 * @param groupDigests hashes of the groups; empty if the tables are equal
	 */
	record DigestReply(boolean ready, long[] groupDigests) implements ContractMessage {

	}

	/**
	 * Asks for the hashes of the leaves of some groups.
	 *
	 * @param groups the groups
	 */
	record LeavesRequest(int[] groups) implements ContractMessage {

	}

	/**
	 * The hashes of the leaves, in the order asked.
	 *
	 * @param leafDigests the hashes
	 */
	record LeavesReply(long[] leafDigests) implements ContractMessage {

	}

	/**
	 * Asks for what is newer in some leaves.
	 *
	 * @param leaves the leaves
	 * @param heldRevisions what the asker holds in them
	 */
	record ContractsRequest(int[] leaves, List<HeldRevision> heldRevisions) implements ContractMessage {

		public ContractsRequest {
			heldRevisions = List.copyOf(heldRevisions);
		}

	}

	/**
	 * A revision that a table holds.
	 *
	 * @param customer the customer
	 * @param revision the revision
	 */
	record HeldRevision(String customer, long revision) {

	}

	/**
	 * Contracts that the asker lacks.
	 *
	 * @param contracts the contracts
	 */
	record ContractsReply(List<Contract> contracts) implements ContractMessage {

		public ContractsReply {
			contracts = List.copyOf(contracts);
		}

	}

	/**
	 * Asks for all contracts as a stream of {@link ContractsReply}. Fails if the peer's
	 * own table is not complete.
	 *
	 * @param requesterId who asks
	 */
	record SnapshotRequest(String requesterId) implements ContractMessage {

	}

}
