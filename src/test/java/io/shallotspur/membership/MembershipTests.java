package io.shallotspur.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.junit.jupiter.api.Test;

import io.shallotspur.demo.VirtualFleet;
import io.shallotspur.demo.VirtualVm;
import io.shallotspur.testing.FakeKvStore;

import static org.assertj.core.api.Assertions.assertThat;

class MembershipTests {

	private static final long LIMIT_MS = 60_000;

	private final VirtualFleet fleet = new VirtualFleet(MembershipSettings.DEFAULT, new FakeKvStore(), 1, 7);

	@Test
	void vmsFindEachOtherThroughTheList() {
		this.fleet.start(8);
		assertThat(this.fleet.untilLive(ids(8), 3000)).isNotNegative();
		this.fleet.start("vm-9");
		assertThat(this.fleet.untilLive(ids(9), 3000)).isNotNegative();
	}

	/**
	 * A process dies without a word and the VM list goes on naming it. Until the others
	 * notice, callers sent to it get connection errors; nobody may bring it back because
	 * of the list.
	 */
	@Test
	void aDeadVmOnTheListIsFoundAndStaysDead() {
		this.fleet.start(8);
		this.fleet.untilLive(ids(8), LIMIT_MS);
		this.fleet.kill("vm-3");
		assertThat(this.fleet.untilLive(without("vm-3"), 10_000)).isNotNegative();
		this.fleet.time().advance(700_000);
		assertThat(this.fleet.untilLive(without("vm-3"), 0)).isNotNegative();
		this.fleet.start("vm-3");
		assertThat(this.fleet.untilLive(ids(8), 5000)).isNotNegative();
	}

	/**
	 * A VM is stopped for half a minute (a live migration, a debugger) and goes on. Its
	 * cells have other owners by then. If it admitted work on its old view, engines would
	 * be given more than they can hold.
	 */
	@Test
	void aPausedVmOwnsNothingUntilAPeerHasHeardOfItsNewIncarnation() {
		this.fleet.start(8);
		this.fleet.untilLive(ids(8), LIMIT_MS);
		VirtualVm vm = this.fleet.vm("vm-5");
		long before = vm.view().self().incarnation();
		vm.node().pause();
		this.fleet.time().advance(30_000);
		assertThat(this.fleet.vm("vm-1").view().find("vm-5")).isEmpty();
		List<View> seen = new ArrayList<>();
		vm.loop().onView(seen::add);
		vm.node().resume();
		assertThat(this.fleet.untilLive(ids(8), 5000)).isNotNegative();
		assertThat(seen.get(0).find("vm-5")).isEmpty();
		assertThat(vm.view().self().incarnation()).isGreaterThan(before);
		assertThat(this.fleet.vm("vm-1").view().find("vm-5").orElseThrow().incarnation()).isGreaterThan(before);
	}

	/**
	 * One direction between two VMs fails, as with a broken route. Both are well, and
	 * neither may be taken for dead: a request would be refused for no reason.
	 */
	@Test
	void lossInOneDirectionIsProbedAround() {
		this.fleet.start(8);
		this.fleet.untilLive(ids(8), LIMIT_MS);
		this.fleet.peers().setLost((from, to) -> from.equals("vm-1") && to.equals("vm-2"));
		for (int i = 0; i < 120; i++) {
			this.fleet.time().advance(1000);
			for (VirtualVm vm : this.fleet.all()) {
				assertThat(vm.view().live()).hasSize(8);
			}
		}
	}

	/**
	 * Two halls lose each other for two minutes and find each other again. Each side goes
	 * on with its own members, and afterwards both are one fleet without anyone's help.
	 */
	@Test
	void aPartitionHeals() {
		this.fleet.start(8);
		this.fleet.untilLive(ids(8), LIMIT_MS);
		Set<String> left = Set.of("vm-1", "vm-2", "vm-3");
		this.fleet.peers().setLost((from, to) -> left.contains(from) != left.contains(to));
		this.fleet.time().advance(120_000);
		assertThat(this.fleet.vm("vm-1").view().live()).hasSize(3);
		assertThat(this.fleet.vm("vm-8").view().live()).hasSize(5);
		this.fleet.peers().setLost((from, to) -> false);
		assertThat(this.fleet.untilLive(ids(8), LIMIT_MS)).isNotNegative();
	}

	@Test
	void anAnnouncedLeaveIsKnownAtOnceAndARestartIsANewIncarnation() {
		this.fleet.start(8);
		this.fleet.untilLive(ids(8), LIMIT_MS);
		VirtualVm vm = this.fleet.vm("vm-2");
		vm.loop().leave();
		assertThat(this.fleet.until((v) -> v.leaving().size() == 1 && v.live().size() == 7, 1500)).isNotNegative();
		vm.loop().left();
		this.fleet.time().advance(1);
		this.fleet.kill("vm-2");
		assertThat(this.fleet.until((v) -> v.find("vm-2").isEmpty(), 1500)).isNotNegative();
		this.fleet.start("vm-2");
		assertThat(this.fleet.untilLive(ids(8), 5000)).isNotNegative();
	}

	@Test
	void aLeavingMarkOnTheListTakesAVmOutEverywhere() {
		this.fleet.start(8);
		this.fleet.untilLive(ids(8), LIMIT_MS);
		this.fleet.list("vm-4", true, true);
		assertThat(this.fleet.until((v) -> v.leaving().size() == 1 && v.live().size() == 7, 3000)).isNotNegative();
		assertThat(this.fleet.vm("vm-4").view().self().status()).isEqualTo(MemberStatus.LEAVING);
	}

	@Test
	void aVmWithoutPeersOwnsEverythingAfterAWhile() {
		this.fleet.start(1);
		assertThat(this.fleet.vm("vm-1").view().owner("cell")).isEmpty();
		assertThat(this.fleet.untilLive(ids(1), 5000)).isNotNegative();
		assertThat(this.fleet.vm("vm-1").view().owns("cell")).isTrue();
	}

	private static Set<String> ids(int count) {
		Set<String> ids = new TreeSet<>();
		for (int i = 1; i <= count; i++) {
			ids.add("vm-" + i);
		}
		return ids;
	}

	private static Set<String> without(String id) {
		Set<String> ids = ids(8);
		ids.remove(id);
		return ids;
	}

}
