package io.shallotspur.distribution;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import io.shallotspur.contract.Contract;
import io.shallotspur.testing.Contracts;

import static org.assertj.core.api.Assertions.assertThat;

class ContractTableTests {

	@Property(tries = 50, seed = "42")
	void anyDeliveryOrderConvergesToTheNewestRevisionsWithoutReverting(@ForAll long seed) {
		Random random = new Random(seed);
		List<Contract> delivered = new ArrayList<>();
		for (int i = 0; i < 300; i++) {
			delivered
				.add(Contracts.contract("customer-" + random.nextInt(40), 0.1).withRevision(1 + random.nextInt(20)));
		}
		ContractTable a = new ContractTable();
		delivered.forEach(a::updateIfNewer);
		Collections.shuffle(delivered, random);
		ContractTable b = new ContractTable();
		for (Contract c : delivered) {
			long before = b.snapshot().find(c.customer()).map(Contract::revision).orElse(0L);
			assertThat(b.updateIfNewer(c)).isEqualTo(c.revision() > before);
			assertThat(b.snapshot().find(c.customer()).orElseThrow().revision()).isGreaterThanOrEqualTo(before);
		}
		assertThat(b.digest()).isEqualTo(a.digest());
		assertThat(b.all()).containsExactlyInAnyOrderElementsOf(a.all());
	}

	@Property(tries = 20, seed = "42")
	void antiEntropyFindsMissingContracts(@ForAll long seed) {
		Random random = new Random(seed);
		ContractTable current = new ContractTable();
		ContractTable outdated = new ContractTable();
		for (int i = 0; i < 2000; i++) {
			Contract c = Contracts.contract("customer-" + i, 0.1).withRevision(2);
			current.updateIfNewer(c);
			boolean missed = random.nextInt(100) == 0;
			outdated.updateIfNewer(missed ? c.withRevision(1) : c);
		}
		int rounds = 0;
		while (current.digest() != outdated.digest()) {
			exchange(outdated, current);
			assertThat(++rounds).isLessThan(20);
		}
	}

	private static void exchange(ContractTable requester, ContractTable responder) {
		ContractMessage.DigestReply digestReply = AntiEntropy.reply(responder, true,
				new ContractMessage.DigestRequest(requester.digest()));
		ContractMessage.LeavesRequest leavesRequest = AntiEntropy.leavesRequest(requester, digestReply);
		ContractMessage.ContractsRequest contractsRequest = AntiEntropy.contractsRequest(requester, leavesRequest,
				AntiEntropy.reply(responder, leavesRequest));
		AntiEntropy.reply(responder, contractsRequest).contracts().forEach(requester::updateIfNewer);
	}

}
