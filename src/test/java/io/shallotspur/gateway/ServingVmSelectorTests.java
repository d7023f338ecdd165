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

	private static EntryVm vm(String key, double cores, boolean crowded) {
		return new EntryVm(key, key, "region-1", "hall-a", cores, crowded);
	}

	private static List<String> keys(List<EntryVm> l) {
		return ServingVmSelector.select(l).stream().map(EntryVm::key).toList();
	}

	// A hundred VMs serve forty requests a second. Spread over all of them, no VM sees a
	// second request while its first one waits, and callers get places by luck.
	@Test
	void namesAFewOfManyVms() {
		List<EntryVm> l = new ArrayList<>();
		for (int i = 0; i < 100; i++) {
			l.add(vm("vm-" + i, 0.4, false));
		}
		l.add(vm("strong-1", 1.5, false));
		l.add(vm("strong-2", 1.5, false));
		Assertions.assertThat(keys(l)).containsExactlyInAnyOrder("strong-1", "strong-2");
	}

	// VMs hear of registrations in different orders. If each named others, callers would
	// be spread over many again.
	@Test
	void theOrderInWhichRegistrationsComeDoesNotMatter() {
		List<EntryVm> l = new ArrayList<>();
		for (int i = 0; i < 50; i++) {
			l.add(vm("vm-" + i, 1, i % 5 == 0));
		}
		List<String> first = keys(l);
		Collections.shuffle(l, new Random(7));
		Assertions.assertThat(keys(l)).isEqualTo(first);
	}

	// The load is more than two VMs bear: callers wait for their processors although
	// others stand idle.
	@Test
	void growsUntilSomeHaveRoom() {
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
	void namesAllIfAllAreCrowded() {
		Assertions.assertThat(keys(List.of(vm("a", 1, true), vm("b", 1, true), vm("c", 1, true)))).hasSize(3);
	}

}
