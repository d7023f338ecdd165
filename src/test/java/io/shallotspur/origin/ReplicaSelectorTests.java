package io.shallotspur.origin;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link ReplicaSelector}.
 */
class ReplicaSelectorTests {

	private static List<String> addresses(int n) {
		return IntStream.range(0, n).mapToObj((i) -> "10.0.0." + i + ":7674").toList();
	}

	@Test
	void spreadsStreamsOverAllVms() {
		Set<String> seen = new HashSet<>();
		for (int i = 0; i < 500; i++) {
			List<String> l = ReplicaSelector.select("r" + i, addresses(40), 3);
			Assertions.assertThat(l).hasSize(3).doesNotHaveDuplicates();
			seen.addAll(l);
		}
		Assertions.assertThat(seen).hasSize(40);
	}

	// Guards against copies that are not found, as VMs have started and ended since they
	// were made.
	@Test
	void vmsWithOtherViewsAskThoseThatWereTold() {
		for (int i = 0; i < 500; i++) {
			List<String> told = ReplicaSelector.select("r" + i, addresses(40), 3);
			List<String> later = new ArrayList<>(addresses(44));
			later.remove("10.0.0." + i % 40 + ":7674");
			List<String> asked = ReplicaSelector.select("r" + i, later, 8);
			List<String> alive = told.stream().filter(later::contains).toList();
			Assertions.assertThat(asked).containsAll(alive);
		}
	}

}
