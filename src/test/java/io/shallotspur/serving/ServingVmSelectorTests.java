package io.shallotspur.serving;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link ServingVmSelector}.
 */
class ServingVmSelectorTests {

	private static Candidate vm(String key, double cores, boolean overloaded) {
		return new Candidate(key, "hall-a", cores, overloaded ? LoadLevel.OVERLOADED : LoadLevel.NORMAL);
	}

	private static List<String> keys(List<Candidate> l) {
		return ServingVmSelector.select(l).stream().map(Candidate::key).toList();
	}

	// A hundred VMs serve forty requests a second. If callers were spread over all of
	// them, no VM would see a second request while its first one waits, and slots would
	// be assigned at random.
	@Test
	void selectsAFewOfManyVms() {
		List<Candidate> l = new ArrayList<>();
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
		List<Candidate> l = new ArrayList<>();
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
		List<Candidate> l = new ArrayList<>();
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

	private static List<Candidate> fleet(int vms, double cores) {
		return IntStream.range(0, vms)
			.mapToObj((i) -> new Candidate("vm-" + i, "hall-" + i % 4, cores, LoadLevel.NORMAL))
			.collect(Collectors.toCollection(ArrayList::new));
	}

	private static void saturateServing(List<Candidate> l) {
		List<Candidate> serving = ServingVmSelector.select(l);
		l.replaceAll((v) -> serving.contains(v) ? v.withLevel(LoadLevel.SATURATED) : v);
	}

	// A burst saturates both VMs that serve. If one VM were added for each, these would
	// be saturated in turn, and so on until the burst is over.
	@Test
	void addsSeveralVmsAtOnceForSaturatedOnes() {
		List<Candidate> l = fleet(66, 0.12);
		saturateServing(l);
		Assertions.assertThat(keys(l)).hasSize(8);
		saturateServing(l);
		Assertions.assertThat(keys(l)).hasSize(32);
	}

	// The largest VM is saturated and only small ones are left: two of them bear much
	// less than it did.
	@Test
	void smallVmsCountByTheirCores() {
		List<Candidate> l = fleet(40, 0.25);
		l.add(new Candidate("strong", "hall-a", 1.5, LoadLevel.SATURATED));
		Assertions.assertThat(keys(l)).hasSize(19);
	}

	// A saturated VM dies. What was added for it must not be counted for ever.
	@Test
	void forgetsTheNeedOfAVmThatIsGone() {
		List<Candidate> l = fleet(66, 0.12);
		saturateServing(l);
		l.removeIf((v) -> v.loadLevel() == LoadLevel.SATURATED);
		Assertions.assertThat(keys(l)).hasSize(2);
	}

	// Fleets without saturated VMs do well with few VMs; more would take memory and calls
	// to the store.
	@Test
	void selectsAsBeforeUnlessAVmIsSaturated() {
		Random random = new Random(11);
		for (int i = 0; i < 200; i++) {
			List<Candidate> l = fleet(1 + random.nextInt(40), 1);
			l.replaceAll(
					(v) -> new Candidate(v.key(), v.hall(), 1 + random.nextInt(3), LoadLevel.of(random.nextInt(2))));
			Assertions.assertThat(ServingVmSelector.select(l)).isEqualTo(selectedByCount(l));
		}
	}

	// Adds VMs, from the halls in turn, until two are not overloaded.
	private static List<Candidate> selectedByCount(List<Candidate> vms) {
		List<Candidate> ordered = ServingVmSelector
			.select(vms.stream().map((v) -> v.withLevel(LoadLevel.OVERLOADED)).toList());
		List<Candidate> result = new ArrayList<>();
		for (Candidate o : ordered) {
			if (result.stream().filter((v) -> v.loadLevel() == LoadLevel.NORMAL).count() < 2) {
				result.add(vms.stream().filter((v) -> v.key().equals(o.key())).findFirst().orElseThrow());
			}
		}
		return result;
	}

}
