package io.shallotspur.distribution;

import java.util.List;

import io.shallotspur.contract.Contract;
import io.shallotspur.port.PeerMessage;

/**
 * Messages that distribute contracts between VMs. All are immutable and have type numbers
 * from 20 to 39.
 */
public sealed interface ContractMessage extends PeerMessage {

	/**
	 * New contracts. A recipient immediately forwards those that are newer than its own.
	 *
	 * @param contracts the contracts
	 */
	record Push(List<Contract> contracts) implements ContractMessage {

		public Push {
			contracts = List.copyOf(contracts);
		}

	}

	/**
	 * Requests a comparison of two tables.
	 *
	 * @param digest hash of the requester's table
	 */
	record DigestRequest(long digest) implements ContractMessage {

	}

	/**
	 * The result of comparing two tables.
	 *
	 * @param ready whether the table of the responder is complete
	 * @param groupDigests hashes of the groups; empty if the tables are equal
	 */
	record DigestReply(boolean ready, long[] groupDigests) implements ContractMessage {

	}

	/**
	 * Requests the hashes of the leaves in some groups.
	 *
	 * @param groups the indices of the groups
	 */
	record LeavesRequest(int[] groups) implements ContractMessage {

	}

	/**
	 * The hashes of the leaves, in the order of the requested groups.
	 *
	 * @param leafDigests the hashes
	 */
	record LeavesReply(long[] leafDigests) implements ContractMessage {

	}

	/**
	 * Requests the newer contracts in some leaves.
	 *
	 * @param leaves the indices of the leaves, counted over all groups
	 * @param heldRevisions the revisions that the requester holds in these leaves
	 */
	record ContractsRequest(int[] leaves, List<HeldRevision> heldRevisions) implements ContractMessage {

		public ContractsRequest {
			heldRevisions = List.copyOf(heldRevisions);
		}

	}

	/**
	 * The revision of a contract in a table.
	 *
	 * @param customer the customer
	 * @param revision the revision
	 */
	record HeldRevision(String customer, long revision) {

	}

	/**
	 * Contracts that are missing or outdated at the requester.
	 *
	 * @param contracts the contracts
	 */
	record ContractsReply(List<Contract> contracts) implements ContractMessage {

		public ContractsReply {
			contracts = List.copyOf(contracts);
		}

	}

	/**
	 * Requests all contracts as a stream of {@link ContractsReply}. Fails if the table of
	 * the responder is not complete.
	 *
	 * @param requesterId the id of the requesting VM
	 */
	record SnapshotRequest(String requesterId) implements ContractMessage {

	}

}
