package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link ServingVmSelector}.
 */
class ServingVmSelectorTests {

	private static EntryVm vm(String key, double cores, boolean overloaded) {
		return new EntryVm(key, key, "region-1", "hall-a", cores, overloaded);
	}

	private static List<String> keys(List<EntryVm> l) {
		return ServingVmSelector.select(l).stream().map(EntryVm::key).toList();
	}

	// A hundred VMs serve forty requests a second. If callers were spread over all of
	// them, no VM would see a second request while its first one waits, and slots would
	// be assigned at random.
	@Test
	void selectsAFewOfManyVms() {
		List<EntryVm> l = new ArrayList<>();
		for (int i = 0; i < 100; i++) {
			l.add(vm("vm-" + i, 0.4, false));
		}
		l.add(vm("strong-1", 1.5, false));
		l.add(vm("strong-2", 1.5, false));
		Assertions.assertThat(keys(l)).containsExactlyInAnyOrder("strong-1", "strong-2");
	}

	// VMs receive registrations in different orders. If each selected different VMs,
	// callers would be spread over many again.
	@Test
	void selectionIsIndependentOfRegistrationOrder() {
		List<EntryVm> l = new ArrayList<>();
		for (int i = 0; i < 50; i++) {
			l.add(vm("vm-" + i, 1, i % 5 == 0));
		}
		List<String> first = keys(l);
		Collections.shuffle(l, new Random(7));
		Assertions.assertThat(keys(l)).isEqualTo(first);
	}

	// The load exceeds the capacity of two VMs: requests wait for their processors while
	// other VMs are idle.
	@Test
	void addsVmsUntilSomeAreNotOverloaded() {
		List<EntryVm> l = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			l.add(vm("strong-" + i, 2, true));
		}
		for (int i = 0; i < 4; i++) {
			l.add(vm("weak-" + i, 1, false));
		}
		Assertions.assertThat(keys(l)).hasSize(6).contains("strong-0", "strong-1", "strong-2", "strong-3");
	}

	@Test
	void selectsAllIfAllAreOverloaded() {
		Assertions.assertThat(keys(List.of(vm("a", 1, true), vm("b", 1, true), vm("c", 1, true)))).hasSize(3);
	}

}
