package io.shallotspur.gateway;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link EntryVmDirectory}.
 */
class EntryVmDirectoryTests {

	private final EntryVmDirectory directory = new EntryVmDirectory();

	private static EntryVm vm(String key, String region, String hall, double cores) {
		return new EntryVm(key, key + ":80", region, hall, cores, false);
	}

	@Test
	void directsCallersToVmsOfTheirRegion() {
		this.directory.register(vm("a", "region-1", "hall-a", 1));
		this.directory.register(vm("b", "region-1", "hall-a", 1));
		this.directory.register(vm("c", "region-2", "hall-b", 1));
		Assertions.assertThat(this.directory.addressesFor("region-1", 64, 0)).containsExactlyInAnyOrder("a:80", "b:80");
		Assertions.assertThat(this.directory.addressesFor("region-2", 64, 0)).hasSize(2);
	}

	// The largest VMs are all in one hall, and the hall loses power. Callers that know
	// only those addresses reach no VM until their address list expires.
	@Test
	void selectsVmsOfMoreThanOneHall() {
		this.directory.register(vm("a", "region-1", "hall-a", 2));
		this.directory.register(vm("b", "region-1", "hall-a", 2));
		this.directory.register(vm("c", "region-1", "hall-b", 1));
		Assertions.assertThat(this.directory.addressesFor("region-1", 64, 0)).hasSize(2).contains("c:80");
	}

	// The VM that sends orders to workers writes to the store and calls workers, so
	// faults often hit it first. If it also served half of the callers, one failure
	// would stop both.
	@Test
	void ranksServingVmsLast() {
		this.directory.register(vm("a", "region-1", "hall-a", 2));
		this.directory.register(vm("b", "region-1", "hall-b", 2));
		this.directory.register(vm("c", "region-1", "hall-a", 1));
		this.directory.register(vm("d", "region-1", "hall-b", 1));
		Assertions.assertThat(this.directory.rank("c", 0)).isZero();
		Assertions.assertThat(this.directory.rank("d", 0)).isEqualTo(1);
		Assertions.assertThat(this.directory.rank("a", 0)).isEqualTo(2);
		Assertions.assertThat(this.directory.rank("b", 0)).isEqualTo(3);
	}

	// A serving VM has failed. Its address must not be handed out beyond its grace
	// period, even if no other registration changes.
	@Test
	void selectsAnotherVmAfterTheGracePeriod() {
		this.directory.register(vm("a", "region-1", "hall-a", 2));
		this.directory.register(vm("b", "region-1", "hall-b", 2));
		this.directory.register(vm("c", "region-1", "hall-c", 1));
		this.directory.deregister("a", 1_500);
		Assertions.assertThat(this.directory.addressesFor("region-1", 64, 1_499)).contains("a:80");
		Assertions.assertThat(this.directory.addressesFor("region-1", 64, 1_500)).containsExactly("b:80", "c:80");
	}

	@Test
	void detectsStandby() {
		this.directory.registerSelf(vm("c", "region-1", "hall-a", 1));
		Assertions.assertThat(this.directory.isStandby(0)).isFalse();
		this.directory.register(vm("a", "region-1", "hall-a", 2));
		this.directory.register(vm("b", "region-1", "hall-b", 2));
		Assertions.assertThat(this.directory.isStandby(0)).isTrue();
		this.directory.deregister("b", 0);
		this.directory.deregister("a", 0);
		Assertions.assertThat(this.directory.isStandby(0)).isFalse();
	}

	@Test
	void keepsAnAddressUntilTheGracePeriodEnds() {
		this.directory.register(new EntryVm("a", "10.0.0.1:80", "region-1", "hall-a", 1, false));
		this.directory.deregister("a", 1_500);
		Assertions.assertThat(this.directory.count(1_499)).isEqualTo(1);
		Assertions.assertThat(this.directory.count(1_500)).isZero();
	}

	// A process restarts at the same address. The expiry of its old registration must
	// not remove the new one.
	@Test
	void removingAnOldRegistrationKeepsTheNewOne() {
		this.directory.register(new EntryVm("a/1", "10.0.0.1:80", "region-1", "hall-a", 1, false));
		this.directory.register(new EntryVm("a/2", "10.0.0.1:80", "region-1", "hall-a", 1, false));
		Assertions.assertThat(this.directory.count(0)).isEqualTo(1);
		this.directory.deregister("a/1", 0);
		Assertions.assertThat(this.directory.count(0)).isEqualTo(1);
	}

}
