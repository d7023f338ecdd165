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
	void anyOrderOfDeliveryEndsAtTheNewestRevisionsAndNeverGoesBack(@ForAll long seed) {
		Random random = new Random(seed);
		List<Contract> sent = new ArrayList<>();
		for (int i = 0; i < 300; i++) {
			sent.add(Contracts.contract("customer-" + random.nextInt(40), 0.1).withRevision(1 + random.nextInt(20)));
		}
		ContractTable a = new ContractTable();
		sent.forEach(a::updateIfNewer);
		Collections.shuffle(sent, random);
		ContractTable b = new ContractTable();
		for (Contract c : sent) {
			long before = b.snapshot().find(c.customer()).map(Contract::revision).orElse(0L);
			assertThat(b.updateIfNewer(c)).isEqualTo(c.revision() > before);
			assertThat(b.snapshot().find(c.customer()).orElseThrow().revision()).isGreaterThanOrEqualTo(before);
		}
		assertThat(b.digest()).isEqualTo(a.digest());
		assertThat(b.all()).containsExactlyInAnyOrderElementsOf(a.all());
	}

	@Property(tries = 20, seed = "42")
	void comparisonFindsWhatIsMissing(@ForAll long seed) {
		Random random = new Random(seed);
		ContractTable full = new ContractTable();
		ContractTable behind = new ContractTable();
		for (int i = 0; i < 2000; i++) {
			Contract c = Contracts.contract("customer-" + i, 0.1).withRevision(2);
			full.updateIfNewer(c);
			boolean missed = random.nextInt(100) == 0;
			behind.updateIfNewer(missed ? c.withRevision(1) : c);
		}
		int rounds = 0;
		while (full.digest() != behind.digest()) {
			exchange(behind, full);
			assertThat(++rounds).isLessThan(20);
		}
	}

	private static void exchange(ContractTable asker, ContractTable asked) {
		ContractMessage.DigestReply d = AntiEntropy.reply(asked, true,
				new ContractMessage.DigestRequest(asker.digest()));
		ContractMessage.LeavesRequest l = AntiEntropy.leavesRequest(asker, d);
		ContractMessage.ContractsRequest c = AntiEntropy.contractsRequest(asker, l, AntiEntropy.reply(asked, l));
		AntiEntropy.reply(asked, c).contracts().forEach(asker::updateIfNewer);
	}

}
