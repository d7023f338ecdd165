package io.shallotspur.gateway;

import java.util.List;
import java.util.stream.IntStream;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that the retries of all VMs to an upstream stay within the slack that the
 * operator allows in any window, whatever happens to the VMs and their registrations.
 * There are no first attempts, so that nothing else allows a retry.
 */
class RetryBudgetFleetTests {

	private static final long SETTLED_MS = 40_000;

	private static final long GRACE_MS = 7_600;

	private static final int REQUESTS_PER_STEP = 15;

	private static final double USED_FRACTION = 0.85;

	private static SimulatedFleet fleet(int vms, int regions, long seed) {
		SimulatedFleet f = new SimulatedFleet(seed);
		IntStream.range(0, vms).forEach((i) -> f.start(i, regions));
		return f;
	}

	private static void assertWithinSlack(SimulatedFleet f) {
		Assertions.assertThat(f.maxInWindow()).isLessThanOrEqualTo((int) SimulatedFleet.SLACK);
	}

	// Guards against slack that is granted once for each region.
	@ParameterizedTest
	@CsvSource({ "8,1", "8,2", "8,3", "30,1", "30,2", "30,3", "95,1", "95,3" })
	void fleetThatStartsTogetherStaysWithinTheSlack(int vms, int regions) {
		SimulatedFleet f = fleet(vms, regions, 1);
		f.run(SETTLED_MS);
		assertWithinSlack(f);
	}

	// Guards against a budget that is not used where it is needed.
	@ParameterizedTest
	@CsvSource({ "8,1", "8,2", "30,1", "30,3", "95,1", "95,3" })
	void slackIsUsedWhereTheFailuresAre(int vms, int regions) {
		SimulatedFleet f = fleet(vms, regions, 1);
		f.failOnly((v) -> !v.isStandby());
		f.run(SETTLED_MS);
		f.startMeasuring();
		f.run(SETTLED_MS);
		Assertions.assertThat(f.maxInWindow()).isGreaterThanOrEqualTo((int) (USED_FRACTION * SimulatedFleet.SLACK));
	}

	// Guards against a VM that spends again, after it has started anew, what it had spent
	// before.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void vmsThatAreKilledAndStartAnew(long seed) {
		SimulatedFleet f = fleet(8, 1, seed);
		f.run(SETTLED_MS);
		for (int i = 0; i < 16; i++) {
			f.kill(f.vms().get(0));
			f.run(1_000);
			f.start(i % 8, 1);
			f.run(600);
		}
		assertWithinSlack(f);
	}

	// Guards against VMs that raise their parts as others leave, while what these have
	// spent, and go on to spend until they exit, is still in the window.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void vmsThatAreStoppedTwoAtATime(long seed) {
		SimulatedFleet f = fleet(8, 1, seed);
		f.run(SETTLED_MS);
		List<SimulatedFleet.Vm> all = f.vms();
		for (int i = 0; i < 8; i += 2) {
			f.stop(all.get(i), GRACE_MS);
			f.stop(all.get(i + 1), GRACE_MS);
			f.run(600);
		}
		for (int i = 0; i < 8; i++) {
			f.start(i, 1);
			f.run(300);
		}
		f.run(SETTLED_MS);
		assertWithinSlack(f);
	}

	// Guards against VMs that each believe to be alone, after all registrations have
	// lapsed with the store.
	@ParameterizedTest
	@CsvSource({ "8,1", "8,5", "30,1" })
	void registrationsThatLapseTogetherAndComeBackOneByOne(int vms, long seed) {
		SimulatedFleet f = fleet(vms, 1, seed);
		f.run(SETTLED_MS);
		f.vms().forEach(f::deregister);
		f.run(SimulatedFleet.WINDOW_MS);
		for (SimulatedFleet.Vm vm : f.vms()) {
			f.register(vm);
			f.run(500);
		}
		f.run(SETTLED_MS);
		assertWithinSlack(f);
	}

	// Guards against VMs that were cut off from the store and keep their parts for good.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void registrationsOfOneHalfThatAreGoneForLong(long seed) {
		SimulatedFleet f = fleet(8, 1, seed);
		f.run(SETTLED_MS);
		List<SimulatedFleet.Vm> cutOff = f.vms().subList(0, 4);
		cutOff.forEach(f::deregister);
		f.run(SETTLED_MS);
		cutOff.forEach(f::register);
		f.run(SETTLED_MS);
		assertWithinSlack(f);
	}

	// Guards against the old and the new serving VMs both having the larger parts.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void servingVmsThatChangeWithTheLoad(long seed) {
		SimulatedFleet f = fleet(8, 1, seed);
		f.run(SETTLED_MS);
		for (int i = 0; i < 24; i++) {
			f.setOverloaded(f.vms().get(i % 8), i % 16 < 8);
			f.run(900);
		}
		assertWithinSlack(f);
	}

	private static SimulatedFleet fleetWithTraffic(long seed) {
		SimulatedFleet f = fleet(8, 1, seed);
		f.setRequestsPerStep(REQUESTS_PER_STEP);
		f.failOnly((v) -> false);
		f.run(SETTLED_MS);
		f.failOnly((v) -> true);
		return f;
	}

	// Guards against a VM that spends the ratio of the requests it had before the window,
	// and others that take over its callers and spend that of theirs.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void vmsWithTrafficThatAreStoppedTwoAtATimeUnderErrors(long seed) {
		SimulatedFleet f = fleetWithTraffic(seed);
		List<SimulatedFleet.Vm> all = f.vms();
		f.run(4_000);
		for (int i = 0; i < 8; i += 2) {
			f.stop(all.get(i), GRACE_MS);
			f.stop(all.get(i + 1), GRACE_MS);
			f.run(600);
		}
		for (int i = 0; i < 8; i++) {
			f.start(i, 1);
			f.run(600);
		}
		f.run(SETTLED_MS);
		Assertions.assertThat(f.maxExcess()).isLessThanOrEqualTo(0);
	}

	// Guards against all VMs spending what they had in reserve, and the processes that
	// follow them spending their own.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void vmsWithTrafficThatAreAllKilledUnderErrors(long seed) {
		SimulatedFleet f = fleetWithTraffic(seed);
		f.run(2_000);
		f.vms().forEach(f::kill);
		f.run(1_000);
		IntStream.range(0, 8).forEach((i) -> f.start(i, 1));
		f.run(SETTLED_MS);
		Assertions.assertThat(f.maxExcess()).isLessThanOrEqualTo(0);
	}

	// Guards against VMs that are added and take parts before the others have reduced
	// theirs.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void vmsThatAreAdded(long seed) {
		SimulatedFleet f = fleet(4, 1, seed);
		f.run(SETTLED_MS);
		for (int i = 4; i < 12; i++) {
			f.start(i, 1);
			f.run(700);
		}
		f.run(SETTLED_MS);
		assertWithinSlack(f);
	}

}
