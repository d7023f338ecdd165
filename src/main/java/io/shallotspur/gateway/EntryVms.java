package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

/**
 * The entry VMs that take callers, and which of them a caller is told to use. Not
 * thread-safe; confined to the gateway's thread.
 */
public final class EntryVms {

	// A region whose VMs are fewer sends its callers to other regions too: one VM alone
	// would be lost to all of them at once.
	private static final int FEWEST_NEAR = 2;

	private final Map<String, Entry> byKey = new LinkedHashMap<>();

	// Asked for with each request; with hundreds of VMs it is chosen again only when they
	// change.
	private @Nullable Choice choice;

	private @Nullable EntryVm own;

	/**
	 * Says which VM this one is.
	 * @param vm this VM
	 */
	public void own(EntryVm vm) {
		this.own = vm;
		seen(vm);
	}

	/**
	 * Takes the registration of a VM.
	 * @param vm the VM
	 */
	public void seen(EntryVm vm) {
		this.byKey.put(vm.key(), new Entry(vm, Long.MAX_VALUE));
		this.choice = null;
	}

	/**
	 * Takes the end of a registration.
	 * @param key its key
	 * @param until until when callers are still sent there, in milliseconds; the present
	 * or a past time if not at all
	 */
	public void vanished(String key, long until) {
		this.byKey.computeIfPresent(key, (k, e) -> new Entry(e.vm(), Math.min(e.until(), until)));
		this.choice = null;
	}

	/**
	 * Takes a whole listing: registrations that it lacks have ended.
	 * @param keys all keys
	 * @param until as in {@link #vanished}
	 */
	public void retain(Set<String> keys, long until) {
		for (String k : this.byKey.keySet()) {
			if (!keys.contains(k)) {
				vanished(k, until);
			}
		}
	}

	/**
	 * Returns how many other VMs come before one in an order that all VMs agree on as far
	 * as they know the same registrations. Those that serve callers come last: what is
	 * lost with a VM is then either a task that is done once or the requests of callers,
	 * not both.
	 * @param key the VM's key
	 * @param now the present time in milliseconds
	 * @return its rank; 0 is first
	 */
	public int rank(String key, long now) {
		List<EntryVm> present = present(now);
		Set<String> serving = new HashSet<>();
		present.forEach((v) -> serving(v.region(), now).forEach((w) -> serving.add(w.key())));
		return (int) present.stream()
			.map(EntryVm::key)
			.filter((k) -> (serving.contains(k) != serving.contains(key)) ? serving.contains(key)
					: k.compareTo(key) < 0)
			.count();
	}

	/**
	 * Returns how many VMs take callers.
	 * @param now the present time in milliseconds
	 * @return the number, without doubles of one address
	 */
	public int count(long now) {
		return present(now).size();
	}

	/**
	 * Returns the addresses a caller is to use: a few VMs of its region if there are
	 * enough, else of all.
	 * @param region the caller's region
	 * @param max the most addresses
	 * @param now the present time in milliseconds
	 * @return the addresses, without doubles
	 */
	public List<String> forCaller(String region, int max, long now) {
		return serving(region, now).stream().limit(max).map(EntryVm::address).toList();
	}

	private List<EntryVm> serving(String region, long now) {
		return choice(now).of(region);
	}

	private Choice choice(long now) {
		Choice c = this.choice;
		if (c == null || now >= c.until()) {
			List<EntryVm> all = present(now);
			Map<String, List<EntryVm>> byRegion = all.stream().collect(Collectors.groupingBy(EntryVm::region));
			byRegion.values().removeIf((l) -> l.size() < FEWEST_NEAR);
			byRegion.replaceAll((region, l) -> ServingSet.of(l));
			long until = this.byKey.values().stream().mapToLong(Entry::until).min().orElse(Long.MAX_VALUE);
			c = Choice.of(byRegion, ServingSet.of(all), until);
			this.choice = c;
		}
		return c;
	}

	/**
	 * Returns how many VMs the callers of this VM's region are told to use.
	 * @param now the present time in milliseconds
	 * @return the number of VMs, at least 1
	 */
	int servingCount(long now) {
		return (this.own != null) ? Math.max(1, serving(this.own.region(), now).size()) : 1;
	}

	/**
	 * Returns how many VMs the callers of all regions are told to use.
	 * @param now the present time in milliseconds
	 * @return the number of VMs, at least 1
	 */
	int servingEverywhere(long now) {
		return Math.max(1, choice(now).addresses().size());
	}

	/**
	 * Returns this VM's place among those that the callers of all regions are told to
	 * use, in an order that all VMs agree on as far as they know the same registrations.
	 * @param now the present time in milliseconds
	 * @return its place, from 0, or -1 if callers are told to use others
	 */
	int placeAmongServing(long now) {
		List<String> l = choice(now).addresses();
		return (this.own == null || l.isEmpty()) ? 0 : l.indexOf(this.own.address());
	}

	/**
	 * Tells whether the callers of this VM's region are told to use others.
	 * @param now the present time in milliseconds
	 * @return {@code false} if it serves them, or is not known
	 */
	public boolean standsBy(long now) {
		EntryVm me = this.own;
		return me != null && this.byKey.containsKey(me.key())
				&& serving(me.region(), now).stream().noneMatch((v) -> v.address().equals(me.address()));
	}

	// Of two registrations with one address the later one counts: a process that starts
	// again has the address of the one before, whose registration lapses later.
	private List<EntryVm> present(long now) {
		this.byKey.values().removeIf((e) -> now >= e.until());
		Map<String, EntryVm> byAddress = new LinkedHashMap<>();
		this.byKey.values().forEach((e) -> byAddress.put(e.vm().address(), e.vm()));
		return List.copyOf(byAddress.values());
	}

	private record Entry(EntryVm vm, long until) {

	}

	/**
	 * The VMs that serve. Immutable.
	 *
	 * @param byRegion those of each region that has enough
	 * @param ofAll those for callers of any other region
	 * @param addresses those of all regions that have enough, or of all, in an agreed
	 * order
	 * @param until when a VM among all ends, in milliseconds
	 */
	private record Choice(Map<String, List<EntryVm>> byRegion, List<EntryVm> ofAll, List<String> addresses,
			long until) {

		static Choice of(Map<String, List<EntryVm>> byRegion, List<EntryVm> ofAll, long until) {
			List<String> l = new ArrayList<>();
			byRegion.keySet().stream().sorted().forEach((r) -> byRegion.get(r).forEach((v) -> l.add(v.address())));
			List<String> all = byRegion.isEmpty() ? ofAll.stream().map(EntryVm::address).toList() : l;
			return new Choice(byRegion, ofAll, all, until);
		}

		List<EntryVm> of(String region) {
			return this.byRegion.getOrDefault(region, this.ofAll);
		}

	}

}
