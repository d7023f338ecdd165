package io.shallotspur.gateway;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link EntryVms}.
 */
class EntryVmsTests {

	private final EntryVms vms = new EntryVms();

	@Test
	void sendsCallersToTheirOwnHall() {
		this.vms.seen("a", "10.0.0.1:80", "hall-a");
		this.vms.seen("b", "10.0.0.2:80", "hall-a");
		this.vms.seen("c", "10.0.0.3:80", "hall-b");
		Assertions.assertThat(this.vms.forCaller("hall-a", 64, 0)).containsExactly("10.0.0.1:80", "10.0.0.2:80");
		Assertions.assertThat(this.vms.forCaller("hall-b", 64, 0)).hasSize(3);
	}

	@Test
	void keepsAnAddressForItsGraceAndNoLonger() {
		this.vms.seen("a", "10.0.0.1:80", "hall-a");
		this.vms.vanished("a", 1_000, 500);
		Assertions.assertThat(this.vms.count(1_499)).isEqualTo(1);
		Assertions.assertThat(this.vms.count(1_500)).isZero();
	}

	// A process is restarted at its old address: its old registration lapses later and
	// must not take the new one with it.
	@Test
	void theOldRegistrationOfAnAddressEndsAlone() {
		this.vms.seen("a/1", "10.0.0.1:80", "hall-a");
		this.vms.seen("a/2", "10.0.0.1:80", "hall-a");
		Assertions.assertThat(this.vms.count(0)).isEqualTo(1);
		this.vms.vanished("a/1", 0, 0);
		Assertions.assertThat(this.vms.count(0)).isEqualTo(1);
	}

}
