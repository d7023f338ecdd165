package io.shallotspur.serving;

import java.util.stream.IntStream;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link CallerRelease}.
 */
class CallerReleaseTests {

	private final CallerRelease release = new CallerRelease();

	private long closedOf(int responses) {
		return IntStream.range(0, responses).filter((i) -> this.release.closeAfterNext()).count();
	}

	// Callers keep their connections to the first VMs when others are added, and the VMs
	// that were added stay idle.
	@Test
	void closesSomeConnectionsOnceCallersKnowOtherVms() {
		this.release.update(true, true, 0);
		Assertions.assertThat(closedOf(40)).isZero();
		this.release.update(true, true, 2_000);
		Assertions.assertThat(closedOf(40)).isEqualTo(20);
	}

	// A caller that is released comes back if there is no other VM, and connecting again
	// costs the VM more than the request.
	@Test
	void closesNoneWithoutOverloadOrWithoutAlternatives() {
		this.release.update(true, false, 0);
		this.release.update(true, false, 5_000);
		Assertions.assertThat(closedOf(40)).isZero();
		this.release.update(false, true, 10_000);
		this.release.update(false, true, 20_000);
		Assertions.assertThat(closedOf(40)).isZero();
	}

}
