package io.shallotspur.registry;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.ManualTimer;

/**
 * Tests of {@link VmRegistration}.
 */
class VmRegistrationTests {

	private final ManualTimer timer = new ManualTimer();

	private final FakeRegistry registry = new FakeRegistry();

	private final VmRegistration registration = new VmRegistration(this.registry,
			new EntryVm("vms/me", "10.0.0.9:80", "region-1", "hall-a", 1, false), this.timer);

	@Test
	void renewsItsLease() {
		this.registration.start();
		this.timer.advance(10_000);
		Assertions.assertThat(this.registry.registrations).isEqualTo(1);
		Assertions.assertThat(this.registry.renewals).isEqualTo(10);
	}

	// The process was paused for longer than its lease. Callers are no longer sent here
	// until it registers again.
	@Test
	void registersAgainWhenTheLeaseHasLapsed() {
		this.registration.start();
		this.registry.leaseExists = false;
		this.timer.advance(2_000);
		Assertions.assertThat(this.registry.registrations).isEqualTo(2);
	}

	@Test
	void triesAgainWhileTheStoreIsAway() {
		this.registry.storeDown = true;
		this.registration.start();
		this.timer.advance(3_000);
		this.registry.storeDown = false;
		this.timer.advance(1_000);
		Assertions.assertThat(this.registry.registrations).isEqualTo(1);
	}

	// A second start while renewals run must not double them: calls are billed.
	@Test
	void startingAgainDoesNotDoubleTheRenewals() {
		this.registration.start();
		this.registration.start();
		this.timer.advance(10_000);
		Assertions.assertThat(this.registry.renewals).isEqualTo(10);
	}

	// The store comes back from a copy and gives the number of this VM's lease to another
	// VM. Renewed or ended from here, that VM would vanish late or at once.
	@Test
	void leavesALeaseAloneThatTheStoreHasLost() {
		this.registration.start();
		this.registry.restore();
		this.registration.onStoreRestored(500);
		Assertions.assertThat(this.registration.activeLease()).isZero();
		this.registration.deregister().block();
		Assertions.assertThat(this.registry.revokedLease).isNull();
	}

	@Test
	void registersAnewWhenTheStoreWasRestored() {
		this.registration.start();
		this.registration.onStoreRestored(500);
		this.timer.advance(400);
		Assertions.assertThat(this.registry.registrations).isEqualTo(1);
		this.timer.advance(10_100);
		Assertions.assertThat(this.registry.registrations).isEqualTo(2);
		Assertions.assertThat(this.registry.renewals).isEqualTo(10);
	}

	@Test
	void endsItsLeaseAndStaysAway() {
		this.registration.start();
		this.registration.deregister().block();
		this.timer.advance(10_000);
		Assertions.assertThat(this.registry.revokedLease).isNotNull();
		Assertions.assertThat(this.registry.renewals).isZero();
	}

}
