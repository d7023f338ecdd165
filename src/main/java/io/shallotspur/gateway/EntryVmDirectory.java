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
public final class EntryVmDirectory {

	// A region whose VMs are fewer sends its callers to other regions too: one VM alone
	// would be lost to all of them at once.
	private static final int MIN_VMS_PER_REGION = 2;

	private final Map<String, Registration> byKey = new LinkedHashMap<>();

	// Asked for with each request; with hundreds of VMs it is chosen again only when they
	// change.
	private @Nullable Selection selection;

	private @Nullable EntryVm own;

	/**
	 * Says which VM this one is.
	 * @param vm this VM
	 */
	public void registerSelf(EntryVm vm) {
		this.own = vm;
		register(vm);
	}

	/**
	 * Takes the registration of a VM.
	 * @param vm the VM
	 */
	public void register(EntryVm vm) {
		this.byKey.put(vm.key(), new Registration(vm, Long.MAX_VALUE));
		this.selection = null;
	}

	/**
	 * Takes the end of a registration.
	 * @param key its key
	 * @param until until when callers are still sent there, in milliseconds; the present
	 * or a past time if not at all
	 */
	public void deregister(String key, long until) {
		this.byKey.computeIfPresent(key, (k, e) -> new Registration(e.vm(), Math.min(e.until(), until)));
		this.selection = null;
	}

	/**
	 * Takes a whole listing: registrations that it lacks have ended.
	 * @param keys all keys
	 * @param until as in {@link #deregister}
	 */
	public void retain(Set<String> keys, long until) {
		for (String k : this.byKey.keySet()) {
			if (!keys.contains(k)) {
				deregister(k, until);
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
		List<EntryVm> present = liveVms(now);
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
		return liveVms(now).size();
	}

	/**
	 * Returns the addresses a caller is to use: a few VMs of its region if there are
	 * enough, else of all.
	 * @param region the caller's region
	 * @param max the most addresses
	 * @param now the present time in milliseconds
	 * @return the addresses, without doubles
	 */
	public List<String> addressesFor(String region, int max, long now) {
		return serving(region, now).stream().limit(max).map(EntryVm::address).toList();
	}

	private List<EntryVm> serving(String region, long now) {
		return selection(now).forRegion(region);
	}

	private Selection selection(long now) {
		Selection c = this.selection;
		if (c == null || now >= c.until()) {
			List<EntryVm> all = liveVms(now);
			Map<String, List<EntryVm>> byRegion = all.stream().collect(Collectors.groupingBy(EntryVm::region));
			byRegion.values().removeIf((l) -> l.size() < MIN_VMS_PER_REGION);
			byRegion.replaceAll((region, l) -> ServingVmSelector.select(l));
			long until = this.byKey.values().stream().mapToLong(Registration::until).min().orElse(Long.MAX_VALUE);
			c = Selection.of(byRegion, ServingVmSelector.select(all), until);
			this.selection = c;
		}
		return c;
	}

	/**
	 * Returns how many VMs the callers of this VM's region are told to use.
	 * @param now the present time in milliseconds
	 * @return the number of VMs, at least 1
	 */
	int servingCountOwnRegion(long now) {
		return (this.own != null) ? Math.max(1, serving(this.own.region(), now).size()) : 1;
	}

	/**
	 * Returns how many VMs the callers of all regions are told to use.
	 * @param now the present time in milliseconds
	 * @return the number of VMs, at least 1
	 */
	int servingCountAllRegions(long now) {
		return Math.max(1, selection(now).addresses().size());
	}

	/**
	 * Returns this VM's place among those that the callers of all regions are told to
	 * use, in an order that all VMs agree on as far as they know the same registrations.
	 * @param now the present time in milliseconds
	 * @return its place, from 0, or -1 if callers are told to use others
	 */
	int servingIndex(long now) {
		List<String> l = selection(now).addresses();
		return (this.own == null || l.isEmpty()) ? 0 : l.indexOf(this.own.address());
	}

	/**
	 * Tells whether the callers of this VM's region are told to use others.
	 * @param now the present time in milliseconds
	 * @return {@code false} if it serves them, or is not known
	 */
	public boolean isStandby(long now) {
		EntryVm me = this.own;
		return me != null && this.byKey.containsKey(me.key())
				&& serving(me.region(), now).stream().noneMatch((v) -> v.address().equals(me.address()));
	}

	// Of two registrations with one address the later one counts: a process that starts
	// again has the address of the one before, whose registration lapses later.
	private List<EntryVm> liveVms(long now) {
		this.byKey.values().removeIf((e) -> now >= e.until());
		Map<String, EntryVm> byAddress = new LinkedHashMap<>();
		this.byKey.values().forEach((e) -> byAddress.put(e.vm().address(), e.vm()));
		return List.copyOf(byAddress.values());
	}

	private record Registration(EntryVm vm, long until) {

	}

	/**
	 * The VMs that serve. Immutable.
	 *
	 * @param byRegion those of each region that has enough
	 * @param allRegions those for callers of any other region
	 * @param addresses those of all regions that have enough, or of all, in an agreed
	 * order
	 * @param until when a VM among all ends, in milliseconds
	 */
	private record Selection(Map<String, List<EntryVm>> byRegion, List<EntryVm> allRegions, List<String> addresses,
			long until) {

		static Selection of(Map<String, List<EntryVm>> byRegion, List<EntryVm> ofAll, long until) {
			List<String> l = new ArrayList<>();
			byRegion.keySet().stream().sorted().forEach((r) -> byRegion.get(r).forEach((v) -> l.add(v.address())));
			List<String> all = byRegion.isEmpty() ? ofAll.stream().map(EntryVm::address).toList() : l;
			return new Selection(byRegion, ofAll, all, until);
		}

		List<EntryVm> forRegion(String region) {
			return this.byRegion.getOrDefault(region, this.allRegions);
		}

	}

}
