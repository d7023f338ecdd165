package io.shallotspur.registry;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.EntryVmDirectory;
import io.shallotspur.gateway.ManualTimer;
import io.shallotspur.gateway.WorkerStage;

/**
 * Tests of {@link Leadership}.
 */
class LeadershipTests {

	private static final long TURN_MS = 3_000;

	private static final String SELF = "vms/b";

	private final ManualTimer timer = new ManualTimer();

	private final FakeRegistry registry = new FakeRegistry();

	private final EntryVmDirectory vms = new EntryVmDirectory();

	private final VmRegistration registration = new VmRegistration(this.registry,
			new EntryVm(SELF, "10.0.0.2:80", "region-1", "hall-a", 1, false), this.timer);

	private final Leadership duty = new Leadership(this.registry, this.registration, this.vms, SELF, TURN_MS, this.timer::now);

	@BeforeEach
	void register() {
		this.registration.start();
		this.vms.register(new EntryVm(SELF, "10.0.0.2:80", "region-1", "hall-a", 1, false));
	}

	private void ask(long afterMs) {
		this.timer.advance(afterMs);
		this.duty.claimIfVacant(this.timer.now());
	}

	private void hold(String vm, long revision) {
		this.registry.leader = new RegistryChange.LeaderElected(vm, new StorePosition(0, revision));
		this.duty.onLeader(this.registry.leader, this.timer.now());
	}

	@Test
	void asksForAFreeDutyOnce() {
		ask(1_100);
		Assertions.assertThat(this.registry.claimCalls).isEqualTo(1);
		hold(SELF, 7);
		ask(5_000);
		Assertions.assertThat(this.registry.claimCalls).isEqualTo(1);
		Assertions.assertThat(this.duty.fencingToken()).isEqualTo(7);
	}

	// A hundred VMs notice at once that the holder has died. If all asked, the store
	// would have a hundred calls to refuse.
	@Test
	void letsTheVmsBeforeItAskFirst() {
		this.vms.register(new EntryVm("vms/a", "10.0.0.1:80", "region-1", "hall-a", 1, false));
		ask(1_100);
		Assertions.assertThat(this.registry.claimCalls).isZero();
		ask(400);
		Assertions.assertThat(this.registry.claimCalls).isEqualTo(1);
	}

	// The holder before it may have sent an order just before it died. Orders of two VMs
	// that arrive interleaved would undo one another.
	@Test
	void waitsForATurnBeforeItActs() {
		hold(SELF, 7);
		this.timer.advance(TURN_MS);
		Assertions.assertThat(this.duty.mayAct(this.timer.now())).isFalse();
		this.timer.advance(2_000);
		Assertions.assertThat(this.duty.mayAct(this.timer.now())).isTrue();
	}

	@Test
	void doesNotActForAnother() {
		hold("vms/a", 7);
		this.timer.advance(60_000);
		Assertions.assertThat(this.duty.mayAct(this.timer.now())).isFalse();
	}

	// The VM was paused for longer than its lease; another has taken over and this one
	// has not heard. It must not give an order with the old fencing number.
	@Test
	void isNotConfirmedOnceAnotherHasTakenOver() {
		hold(SELF, 7);
		Assertions.assertThat(this.duty.confirm().block()).isTrue();
		this.registry.leader = new RegistryChange.LeaderElected("vms/a", new StorePosition(0, 9));
		Assertions.assertThat(this.duty.confirm().block()).isFalse();
		Assertions.assertThat(this.duty.announceStageChange("w1", WorkerStage.DECODE).block()).isFalse();
		Assertions.assertThat(this.registry.announcedStages).isEmpty();
	}

	// Its own registration lapsed and was made again: the duty went with the old lease
	// and comes back with a higher number.
	@Test
	void beginsANewTurnWithANewNumber() {
		hold(SELF, 7);
		this.timer.advance(10_000);
		this.duty.onLeader(null, this.timer.now());
		Assertions.assertThat(this.duty.mayAct(this.timer.now())).isFalse();
		hold(SELF, 12);
		Assertions.assertThat(this.duty.mayAct(this.timer.now())).isFalse();
		Assertions.assertThat(this.duty.fencingToken()).isEqualTo(12);
	}

	// The store comes back from a copy in which another one holds the duty, or nobody. An
	// order of this VM could cross one of the next holder.
	@Test
	void endsWhenTheStoreWasRestored() {
		hold(SELF, 7);
		this.timer.advance(10_000);
		this.duty.onStoreRestored(this.timer.now());
		Assertions.assertThat(this.duty.mayAct(this.timer.now())).isFalse();
		Assertions.assertThat(this.duty.announceStageChange("w1", WorkerStage.DECODE).block()).isFalse();
		ask(1_100);
		Assertions.assertThat(this.registry.claimCalls).isEqualTo(1);
	}

	@Test
	void asksAgainLaterWhenTheStoreIsAway() {
		this.registry.storeDown = true;
		ask(1_100);
		ask(100);
		Assertions.assertThat(this.registry.claimCalls).isEqualTo(1);
		this.registry.storeDown = false;
		ask(1_100);
		Assertions.assertThat(this.registry.claimCalls).isEqualTo(2);
	}

}
