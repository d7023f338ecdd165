package io.shallotspur.admission;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class ShareSplitTests {

	@Test
	void shareIsSplitByDemand() {
		ShareSplit here = new ShareSplit(8, 10_000);
		ShareSplit there = new ShareSplit(8, 10_000);
		for (int i = 0; i < 100; i++) {
			here.ask("c1", "a", 300, i * 100);
			there.ask("c2", "a", 100, i * 100);
		}
		here.merge(there.digest("c2", 10_000), 10_000);
		there.merge(here.digest("c1", 10_000), 10_000);
		double w1 = here.weight("c1", "a", 0.4, 10_000);
		double w2 = there.weight("c2", "a", 0.4, 10_000);
		assertThat(w1).isCloseTo(0.3, within(0.01));
		assertThat(w1 + w2).isCloseTo(0.4, within(0.01));
	}

	@Test
	void digestIsBoundedAndNamesTheLargest() {
		ShareSplit s = new ShareSplit(10, 10_000);
		for (int i = 0; i < 1000; i++) {
			s.ask("c1", "k" + i, i, 0);
		}
		DemandDigest d = s.digest("c1", 0);
		assertThat(d.entries()).hasSize(10);
		assertThat(d.entries().get(0).customer()).isEqualTo("k999");
	}

	@Test
	void lateAndRepeatedDigestsChangeNothing() {
		// Gossip brings a digest twice, and an old one after a newer one. Counted again
		// they would take weight from the customer in this cell.
		ShareSplit s = new ShareSplit(8, 10_000);
		s.ask("c1", "a", 100, 0);
		DemandDigest old = new DemandDigest("c2", 1, List.of(new DemandDigest.Entry("a", 1000)));
		DemandDigest recent = new DemandDigest("c2", 2, List.of(new DemandDigest.Entry("a", 10)));
		s.merge(recent, 0);
		double w = s.weight("c1", "a", 0.4, 0);
		s.merge(recent, 0);
		s.merge(old, 0);
		assertThat(s.weight("c1", "a", 0.4, 0)).isEqualTo(w);
	}

	@Test
	void demandThatIsNotHeardOfAgainExpires() {
		// The node that owned the other cell died. Its last digest must not keep the
		// customer's weight here down.
		ShareSplit s = new ShareSplit(8, 10_000);
		s.ask("c1", "a", 100, 0);
		s.merge(new DemandDigest("c2", 1, List.of(new DemandDigest.Entry("a", 1000))), 0);
		assertThat(s.weight("c1", "a", 0.4, 0)).isLessThan(0.1);
		s.expire(10_000);
		assertThat(s.weight("c1", "a", 0.4, 10_000)).isCloseTo(0.4, within(1e-6));
	}

}
