package io.shallotspur.admission;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class ShareSplitterTests {

	@Test
	void shareIsSplitByDemand() {
		ShareSplitter node1 = new ShareSplitter(8, 10_000);
		ShareSplitter node2 = new ShareSplitter(8, 10_000);
		for (int i = 0; i < 100; i++) {
			node1.recordDemand("c1", "a", 300, i * 100);
			node2.recordDemand("c2", "a", 100, i * 100);
		}
		node1.merge(node2.digest("c2", 10_000), 10_000);
		node2.merge(node1.digest("c1", 10_000), 10_000);
		double weight1 = node1.weight("c1", "a", 0.4, 10_000);
		double weight2 = node2.weight("c2", "a", 0.4, 10_000);
		assertThat(weight1).isCloseTo(0.3, within(0.01));
		assertThat(weight1 + weight2).isCloseTo(0.4, within(0.01));
	}

	@Test
	void digestIsBoundedAndContainsTheLargestCustomers() {
		ShareSplitter splitter = new ShareSplitter(10, 10_000);
		for (int i = 0; i < 1000; i++) {
			splitter.recordDemand("c1", "k" + i, i, 0);
		}
		DemandDigest digest = splitter.digest("c1", 0);
		assertThat(digest.entries()).hasSize(10);
		assertThat(digest.entries().get(0).customer()).isEqualTo("k999");
	}

	@Test
	void outdatedAndRepeatedDigestsAreIgnored() {
		// Gossip may deliver a digest twice, or an old one after a newer one. If these
		// were counted again, they would reduce the customer's weight in this cell.
		ShareSplitter splitter = new ShareSplitter(8, 10_000);
		splitter.recordDemand("c1", "a", 100, 0);
		DemandDigest outdated = new DemandDigest("c2", 1, List.of(new DemandDigest.Entry("a", 1000)));
		DemandDigest recent = new DemandDigest("c2", 2, List.of(new DemandDigest.Entry("a", 10)));
		splitter.merge(recent, 0);
		double weight = splitter.weight("c1", "a", 0.4, 0);
		splitter.merge(recent, 0);
		splitter.merge(outdated, 0);
		assertThat(splitter.weight("c1", "a", 0.4, 0)).isEqualTo(weight);
	}

	@Test
	void remoteDemandThatIsNotRenewedExpires() {
		// After the owner of another cell fails, its last digest must not keep reducing
		// the customer's weight in this cell.
		ShareSplitter splitter = new ShareSplitter(8, 10_000);
		splitter.recordDemand("c1", "a", 100, 0);
		splitter.merge(new DemandDigest("c2", 1, List.of(new DemandDigest.Entry("a", 1000))), 0);
		assertThat(splitter.weight("c1", "a", 0.4, 0)).isLessThan(0.1);
		splitter.removeExpired(10_000);
		assertThat(splitter.weight("c1", "a", 0.4, 10_000)).isCloseTo(0.4, within(1e-6));
	}

}
