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
 * The questions and answers by which one table finds what another has newer. Each step is
 * bounded: what does not fit is found in the next second's exchange. Stateless.
 */
public final class AntiEntropy {

	private static final int MAX_GROUPS = 8;

	private static final int MAX_LEAVES = 8;

	private AntiEntropy() {
	}

	/**
	 * Answers the first question.
	 * @param table the table that is asked
	 * @param ready whether it is complete
	 * @param request the question
	 * @return the answer
	 */
	public static DigestReply reply(ContractTable table, boolean ready, DigestRequest request) {
		return new DigestReply(ready, (request.digest() == table.digest()) ? new long[0] : table.groupDigests());
	}

	/**
	 * Asks the second question.
	 * @param table the table that asks
	 * @param reply the answer to the first one
	 * @return the groups that differ, empty if none does
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
	 * Answers the second question.
	 * @param table the table that is asked
	 * @param request the question
	 * @return the answer
	 */
	public static LeavesReply reply(ContractTable table, LeavesRequest request) {
		return new LeavesReply(IntStream.of(request.groups())
			.limit(MAX_GROUPS)
			.mapToObj(table::leafDigests)
			.flatMapToLong(LongStream::of)
			.toArray());
	}

	/**
	 * Asks the third question.
	 * @param table the table that asks
	 * @param asked the second question
	 * @param reply the answer to it
	 * @return the leaves that differ, with what this table holds in them
	 */
	public static ContractsRequest contractsRequest(ContractTable table, LeavesRequest asked, LeavesReply reply) {
		List<Integer> leaves = new ArrayList<>();
		int i = 0;
		for (int g : asked.groups()) {
			long[] own = table.leafDigests(g);
			for (int k = 0; k < own.length && i < reply.leafDigests().length; k++, i++) {
				if (own[k] != reply.leafDigests()[i] && leaves.size() < MAX_LEAVES) {
					leaves.add(g * ContractTable.LEAVES_PER_GROUP + k);
				}
			}
		}
		List<HeldRevision> held = new ArrayList<>();
		leaves.forEach((l) -> table.contractsInLeaf(l).forEach((c) -> held.add(new HeldRevision(c.customer(), c.revision()))));
		return new ContractsRequest(leaves.stream().mapToInt(Integer::intValue).toArray(), held);
	}

	/**
	 * Answers the third question.
	 * @param table the table that is asked
	 * @param request the question
	 * @return the contracts that are newer here
	 */
	public static ContractsReply reply(ContractTable table, ContractsRequest request) {
		Map<String, Long> held = new HashMap<>();
		request.heldRevisions().forEach((h) -> held.put(h.customer(), h.revision()));
		List<Contract> l = new ArrayList<>();
		IntStream.of(request.leaves()).limit(MAX_LEAVES).forEach((leaf) -> {
			for (Contract c : table.contractsInLeaf(leaf)) {
				if (c.revision() > held.getOrDefault(c.customer(), 0L)) {
					l.add(c);
				}
			}
		});
		return new ContractsReply(l);
	}

}
