package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which of many entry VMs callers are told to use. Stateless.
 * <p>
 * Answers a fleet of many VMs before few workers. If callers spread over all of them,
 * each sees one request in a hundred: it knows neither which workers are full nor whose
 * turn it is, learns the pace of the engines when the day is over, and holds connections
 * to every worker. So callers go to a few VMs, and the others stand by.
 * <p>
 * All VMs that know the same registrations name the same ones: the strongest of each
 * hall, in an order that changes only with the registrations. As many are named as it
 * takes until some have room, so a set that is too small for its load grows by what its
 * VMs say of themselves; no size is assumed. The halls take turns, so that the loss of
 * one leaves a VM that callers know.
 */
final class ServingVmSelector {

	// VMs with room in each set: the loss of one leaves another that callers know
	// already.
	private static final int MIN_VMS_WITH_CAPACITY = 2;

	// The strongest first; among equals, the order of the keys' hashes, so that VMs whose
	// addresses are close, and may fail together, do not come together.
	private static final Comparator<EntryVm> ORDER = Comparator.comparingDouble(EntryVm::cores)
		.reversed()
		.thenComparingInt((v) -> mixedHash(v.key()))
		.thenComparing(EntryVm::key);

	private ServingVmSelector() {
	}

	/**
	 * Chooses.
	 * @param vms the VMs that take callers
	 * @return those to be used, in the agreed order
	 */
	static List<EntryVm> select(List<EntryVm> vms) {
		List<EntryVm> remaining = new ArrayList<>(vms.stream().sorted(ORDER).toList());
		List<EntryVm> selected = new ArrayList<>();
		while (!remaining.isEmpty() && selected.stream().filter((v) -> !v.overloaded()).count() < MIN_VMS_WITH_CAPACITY) {
			EntryVm next = remaining.stream().min(Comparator.comparingLong((v) -> countInHall(selected, v.hall()))).orElseThrow();
			remaining.remove(next);
			selected.add(next);
		}
		return selected;
	}

	private static long countInHall(List<EntryVm> l, String hall) {
		return l.stream().filter((v) -> v.hall().equals(hall)).count();
	}

	// Keys that differ in one character have hashes that differ little; the product of
	// the finalizer of a multiplicative hash spreads them.
	private static int mixedHash(String key) {
		int h = key.hashCode() * 0x9E3779B9;
		return h ^ (h >>> 15);
	}

}
