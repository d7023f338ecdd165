package io.shallotspur.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

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
 * <p>
 * In a burst, VMs that are added one at a time would be overloaded in turn while the next
 * one is announced. For each saturated VM, several times its capacity is therefore added
 * at once; small VMs count by their cores.
 */
public final class ServingVmSelector {

	// Minimum number of VMs that are not overloaded in each selection, if there are as
	// many: if one is lost, callers already know another.
	private static final int MIN_VMS_WITH_CAPACITY = 2;

	// Largest first, then by hash of the key, so that VMs with adjacent addresses, which
	// may fail together, are not adjacent in the order.
	private static final Comparator<ServingCandidate> ORDER = Comparator.comparingDouble(ServingCandidate::cores)
		.reversed()
		.thenComparingInt((v) -> mixedHash(v.key()))
		.thenComparing(ServingCandidate::key);

	private ServingVmSelector() {
	}

	/**
	 * Selects the serving VMs.
	 * @param vms the VMs that accept callers
	 * @param <V> the type of the VMs
	 * @return the selected VMs, in an order that all VMs agree on
	 */
	public static <V extends ServingCandidate> List<V> select(List<V> vms) {
		List<V> remaining = new ArrayList<>(vms.stream().sorted(ORDER).toList());
		Map<String, Integer> countByHall = new HashMap<>();
		List<V> selected = new ArrayList<>();
		Capacity capacity = new Capacity();
		while (!remaining.isEmpty() && !capacity.suffices()) {
			V next = remaining.stream()
				.min(Comparator.comparingInt((v) -> countByHall.getOrDefault(v.hall(), 0)))
				.orElseThrow();
			remaining.remove(next);
			countByHall.merge(next.hall(), 1, Integer::sum);
			selected.add(next);
			capacity.add(next);
		}
		return selected;
	}

	// Keys that differ in one character have similar hash codes; multiplicative hashing
	// spreads them.
	private static int mixedHash(String key) {
		int h = key.hashCode() * 0x9E3779B9;
		return h ^ (h >>> 15);
	}

	/**
	 * The capacity of the VMs selected so far. Not thread-safe.
	 */
	private static final class Capacity {

		private int vmsWithCapacity;

		private double spareCores;

		private double neededCores;

		void add(ServingCandidate vm) {
			if (vm.loadLevel() == LoadLevel.NORMAL) {
				this.vmsWithCapacity++;
				this.spareCores += vm.cores();
			}
			this.neededCores += vm.cores() * vm.loadLevel().extraCapacity();
		}

		boolean suffices() {
			return this.vmsWithCapacity >= MIN_VMS_WITH_CAPACITY && this.spareCores >= this.neededCores;
		}

	}

}
