package io.shallotspur.node;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which streams are given up, and when.
 */
class OrphanSweepTests {

	private static final List<String> ALL = List.of("me~5~1", "me~5~2", "me~4~9", "live~1~1", "dead~1~1", "dead~1~2",
			"other-program");

	private final OrphanSweep sweep = new OrphanSweep("me", 5, 1000);

	@Test
	void givesUpAfterTheGraceOnly() {
		assertThat(decide(0, "")).isEmpty();
		assertThat(decide(999, "")).isEmpty();
		assertThat(decide(1000, "")).containsExactlyInAnyOrder("me~5~2", "me~4~9", "dead~1~1", "dead~1~2");
	}

	/**
	 * A caller comes back for its answer within the grace, and reads for longer than
	 * that. Only when it has left for good does the grace begin again.
	 */
	@Test
	void sparesStreamsThatAreReadAgain() {
		decide(0, "");
		assertThat(decide(500, "dead~1~1")).isEmpty();
		assertThat(decide(5000, "dead~1~1")).doesNotContain("dead~1~1").contains("dead~1~2");
		assertThat(decide(5500, "")).doesNotContain("dead~1~1");
		assertThat(decide(6500, "")).contains("dead~1~1");
	}

	private List<String> decide(long now, String adopted) {
		return this.sweep.decide(ALL, (id) -> id.sequence() == 1, adopted::equals, (vm, n) -> vm.equals("live"), now);
	}

}
