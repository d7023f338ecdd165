package io.shallotspur.gateway;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link EntryVmDirectory}.
 */
class EntryVmDirectoryTests {

	private final EntryVmDirectory vms = new EntryVmDirectory();

	private static EntryVm vm(String key, String region, String hall, double cores) {
		return new EntryVm(key, key + ":80", region, hall, cores, false);
	}

	@Test
	void sendsCallersToTheirOwnRegion() {
		this.vms.register(vm("a", "region-1", "hall-a", 1));
		this.vms.register(vm("b", "region-1", "hall-a", 1));
		this.vms.register(vm("c", "region-2", "hall-b", 1));
		Assertions.assertThat(this.vms.addressesFor("region-1", 64, 0)).containsExactlyInAnyOrder("a:80", "b:80");
		Assertions.assertThat(this.vms.addressesFor("region-2", 64, 0)).hasSize(2);
	}

	// The strongest VMs stand in one hall, and its power fails. Callers who know no other
	// address find nobody until their answers lapse.
	@Test
	void namesVmsOfMoreThanOneHall() {
		this.vms.register(vm("a", "region-1", "hall-a", 2));
		this.vms.register(vm("b", "region-1", "hall-a", 2));
		this.vms.register(vm("c", "region-1", "hall-b", 1));
		Assertions.assertThat(this.vms.addressesFor("region-1", 64, 0)).hasSize(2).contains("c:80");
	}

	// The VM that gives orders to workers is often one that a fault strikes first: it
	// writes to the store and calls workers. If it also served half of the callers, one
	// loss would stop both.
	@Test
	void thoseThatServeCallersComeLastForOtherTasks() {
		this.vms.register(vm("a", "region-1", "hall-a", 2));
		this.vms.register(vm("b", "region-1", "hall-b", 2));
		this.vms.register(vm("c", "region-1", "hall-a", 1));
		this.vms.register(vm("d", "region-1", "hall-b", 1));
		Assertions.assertThat(this.vms.rank("c", 0)).isZero();
		Assertions.assertThat(this.vms.rank("d", 0)).isEqualTo(1);
		Assertions.assertThat(this.vms.rank("a", 0)).isEqualTo(2);
		Assertions.assertThat(this.vms.rank("b", 0)).isEqualTo(3);
	}

	// A VM that serves has died. Callers must not be told its address for longer than its
	// grace, also if nothing else changes in the fleet.
	@Test
	void namesAnotherVmWhenTheGraceOfOneIsOver() {
		this.vms.register(vm("a", "region-1", "hall-a", 2));
		this.vms.register(vm("b", "region-1", "hall-b", 2));
		this.vms.register(vm("c", "region-1", "hall-c", 1));
		this.vms.deregister("a", 1_500);
		Assertions.assertThat(this.vms.addressesFor("region-1", 64, 1_499)).contains("a:80");
		Assertions.assertThat(this.vms.addressesFor("region-1", 64, 1_500)).containsExactly("b:80", "c:80");
	}

	@Test
	void knowsWhetherItStandsBy() {
		this.vms.registerSelf(vm("c", "region-1", "hall-a", 1));
		Assertions.assertThat(this.vms.isStandby(0)).isFalse();
		this.vms.register(vm("a", "region-1", "hall-a", 2));
		this.vms.register(vm("b", "region-1", "hall-b", 2));
		Assertions.assertThat(this.vms.isStandby(0)).isTrue();
		this.vms.deregister("b", 0);
		this.vms.deregister("a", 0);
		Assertions.assertThat(this.vms.isStandby(0)).isFalse();
	}

	@Test
	void keepsAnAddressForItsGraceAndNoLonger() {
		this.vms.register(new EntryVm("a", "10.0.0.1:80", "region-1", "hall-a", 1, false));
		this.vms.deregister("a", 1_500);
		Assertions.assertThat(this.vms.count(1_499)).isEqualTo(1);
		Assertions.assertThat(this.vms.count(1_500)).isZero();
	}

	// A process is restarted at its old address: its old registration lapses later and
	// must not take the new one with it.
	@Test
	void theOldRegistrationOfAnAddressEndsAlone() {
		this.vms.register(new EntryVm("a/1", "10.0.0.1:80", "region-1", "hall-a", 1, false));
		this.vms.register(new EntryVm("a/2", "10.0.0.1:80", "region-1", "hall-a", 1, false));
		Assertions.assertThat(this.vms.count(0)).isEqualTo(1);
		this.vms.deregister("a/1", 0);
		Assertions.assertThat(this.vms.count(0)).isEqualTo(1);
	}

}
