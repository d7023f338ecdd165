package io.shallotspur.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import io.shallotspur.contract.Contract;
import io.shallotspur.distribution.ContractMessage.ContractsReply;
import io.shallotspur.distribution.ContractMessage.ContractsRequest;
import io.shallotspur.distribution.ContractMessage.DigestReply;
import io.shallotspur.distribution.ContractMessage.DigestRequest;
import io.shallotspur.distribution.ContractMessage.HeldRevision;
import io.shallotspur.distribution.ContractMessage.LeavesReply;
import io.shallotspur.distribution.ContractMessage.LeavesRequest;

/**
 * The requests and replies of an anti-entropy exchange, in which one table obtains the
 * newer contracts of another. The exchange descends the hash trees of both tables in
 * three round trips: group hashes, leaf hashes and contracts. Each step is bounded in
 * size; remaining differences are found in the exchange of the next second. Stateless.
 */
public final class AntiEntropy {

	private static final int MAX_GROUPS = 8;

	private static final int MAX_LEAVES = 8;

	private AntiEntropy() {
	}

	/**
	 * Creates the reply to the first request of an exchange, the comparison of two
	 * tables.
	 * @param table the table of the responder
	 * @param ready whether the table is complete
	 * @param request the request
	 * @return the group hashes; empty if the tables are equal
	 */
	public static DigestReply reply(ContractTable table, boolean ready, DigestRequest request) {
		return new DigestReply(ready, (request.digest() == table.digest()) ? new long[0] : table.groupDigests());
	}

	/**
	 * Creates the second request of an exchange, for leaf hashes.
	 * @param table the table of the requester
	 * @param reply the reply to the first request
	 * @return a request for the groups that differ, which is empty if none does
	 */
	public static LeavesRequest leavesRequest(ContractTable table, DigestReply reply) {
		long[] own = table.groupDigests();
		long[] other = reply.groupDigests();
		return new LeavesRequest(IntStream.range(0, Math.min(own.length, other.length))
			.filter((i) -> own[i] != other[i])
			.limit(MAX_GROUPS)
			.toArray());
	}

	/**
	 * Creates the reply to the second request of an exchange.
	 * @param table the table of the responder
	 * @param request the request
	 * @return the leaf hashes of the requested groups
	 */
	public static LeavesReply reply(ContractTable table, LeavesRequest request) {
		return new LeavesReply(IntStream.of(request.groups())
			.limit(MAX_GROUPS)
			.mapToObj(table::leafDigests)
			.flatMapToLong(LongStream::of)
			.toArray());
	}

	/**
	 * Creates the third request of an exchange, for contracts.
	 * @param table the table of the requester
	 * @param request the second request
	 * @param reply the reply to the second request
	 * @return a request for the leaves that differ, with the revisions that this table
	 * holds in them
	 */
	public static ContractsRequest contractsRequest(ContractTable table, LeavesRequest request, LeavesReply reply) {
		List<Integer> leaves = new ArrayList<>();
		int i = 0;
		for (int group : request.groups()) {
			long[] own = table.leafDigests(group);
			for (int k = 0; k < own.length && i < reply.leafDigests().length; k++, i++) {
				if (own[k] != reply.leafDigests()[i] && leaves.size() < MAX_LEAVES) {
					leaves.add(group * ContractTable.LEAVES_PER_GROUP + k);
				}
			}
		}
		List<HeldRevision> held = new ArrayList<>();
		leaves.forEach((leaf) -> table.contractsInLeaf(leaf)
			.forEach((c) -> held.add(new HeldRevision(c.customer(), c.revision()))));
		return new ContractsRequest(leaves.stream().mapToInt(Integer::intValue).toArray(), held);
	}

	/**
	 * Creates the reply to the third request of an exchange.
	 * @param table the table of the responder
	 * @param request the request
	 * @return the contracts that are newer than those of the requester
	 */
	public static ContractsReply reply(ContractTable table, ContractsRequest request) {
		Map<String, Long> held = new HashMap<>();
		request.heldRevisions().forEach((h) -> held.put(h.customer(), h.revision()));
		List<Contract> newer = new ArrayList<>();
		IntStream.of(request.leaves()).limit(MAX_LEAVES).forEach((leaf) -> {
			for (Contract c : table.contractsInLeaf(leaf)) {
				if (c.revision() > held.getOrDefault(c.customer(), 0L)) {
					newer.add(c);
				}
			}
		});
		return new ContractsReply(newer);
	}

}
