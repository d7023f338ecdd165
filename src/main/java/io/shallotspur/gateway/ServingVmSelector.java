package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the entry VMs that callers are directed to. Stateless.
 * <p>
 * With many VMs and few workers, a VM must see a sufficient share of the traffic. If
 * callers were spread over a hundred VMs, each would see one request in a hundred: it
 * would know neither which workers are full nor which request is next, would learn the
 * speed of the engines only by the end of the day, and would keep connections to every
 * worker. Callers are therefore directed to a few VMs, and the others are standby.
 * <p>
 * All VMs with the same view of the registrations select the same VMs: the largest of
 * each hall, in an order that changes only with the registrations. VMs are added until
 * enough of them are not overloaded, so the set grows with the reported load and no size
 * is configured. VMs are taken from the halls in turn, so that callers still know a VM
 * after the loss of a hall.
 */
final class ServingVmSelector {

	// Minimum number of VMs that are not overloaded in each selection, if there are as
	// many: if one is lost, callers already know another.
	private static final int MIN_VMS_WITH_CAPACITY = 2;

	// Largest first, then by hash of the key, so that VMs with adjacent addresses, which
	// may fail together, are not adjacent in the order.
	private static final Comparator<EntryVm> ORDER = Comparator.comparingDouble(EntryVm::cores)
		.reversed()
		.thenComparingInt((v) -> mixedHash(v.key()))
		.thenComparing(EntryVm::key);

	private ServingVmSelector() {
	}

	/**
	 * Selects the serving VMs.
	 * @param vms the VMs that accept callers
	 * @return the selected VMs, in an order that all VMs agree on
	 */
	static List<EntryVm> select(List<EntryVm> vms) {
		List<EntryVm> remaining = new ArrayList<>(vms.stream().sorted(ORDER).toList());
		List<EntryVm> selected = new ArrayList<>();
		while (!remaining.isEmpty()
				&& selected.stream().filter((v) -> !v.overloaded()).count() < MIN_VMS_WITH_CAPACITY) {
			EntryVm next = remaining.stream()
				.min(Comparator.comparingLong((v) -> countInHall(selected, v.hall())))
				.orElseThrow();
			remaining.remove(next);
			selected.add(next);
		}
		return selected;
	}

	private static long countInHall(List<EntryVm> vms, String hall) {
		return vms.stream().filter((v) -> v.hall().equals(hall)).count();
	}

	// Keys that differ in one character have similar hash codes; multiplicative hashing
	// spreads them.
	private static int mixedHash(String key) {
		int h = key.hashCode() * 0x9E3779B9;
		return h ^ (h >>> 15);
	}

}
