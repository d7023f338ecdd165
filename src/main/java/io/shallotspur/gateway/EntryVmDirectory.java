package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

import io.shallotspur.serving.ServingVmSelector;

/**
 * The registered entry VMs, and the selection of those that callers are directed to. Not
 * thread-safe; confined to the gateway's thread.
 */
public final class EntryVmDirectory {

	// Callers of a region with fewer VMs are directed to VMs of all regions: otherwise
	// the loss of a single VM could cut off all callers of the region.
	private static final int MIN_VMS_PER_REGION = 2;

	private final Map<String, Registration> byKey = new LinkedHashMap<>();

	// Cached, because it is needed for each request and there may be hundreds of VMs;
	// recomputed when the registrations change.
	private @Nullable Selection selection;

	private @Nullable EntryVm self;

	/**
	 * Registers this VM and remembers it as the local one.
	 * @param vm this VM
	 */
	public void registerSelf(EntryVm vm) {
		this.self = vm;
		register(vm);
	}

	/**
	 * Adds or updates the registration of a VM.
	 * @param vm the VM
	 */
	public void register(EntryVm vm) {
		this.byKey.put(vm.key(), new Registration(vm, Long.MAX_VALUE));
		this.selection = null;
	}

	/**
	 * Marks a registration as removed.
	 * @param key its key
	 * @param until until when callers are still directed to the VM, in milliseconds; not
	 * after the current time to stop at once
	 */
	public void deregister(String key, long until) {
		this.byKey.computeIfPresent(key, (k, e) -> new Registration(e.vm(), Math.min(e.until(), until)));
		this.selection = null;
	}

	/**
	 * Applies a complete listing: registrations that it lacks are removed.
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
	 * Returns the number of other VMs that precede a VM in an order that is the same on
	 * all VMs with the same view of the registrations. VMs that serve callers come last,
	 * so that the loss of one VM affects either a singleton task or the requests of
	 * callers, not both.
	 * @param key the VM's key
	 * @param now the current time in milliseconds
	 * @return its rank; 0 is first
	 */
	public int rank(String key, long now) {
		List<EntryVm> live = liveVms(now);
		Set<String> serving = new HashSet<>();
		live.forEach((v) -> serving(v.region(), now).forEach((w) -> serving.add(w.key())));
		return (int) live.stream()
			.map(EntryVm::key)
			.filter((k) -> (serving.contains(k) != serving.contains(key)) ? serving.contains(key)
					: k.compareTo(key) < 0)
			.count();
	}

	/**
	 * Returns the number of VMs that accept callers.
	 * @param now the current time in milliseconds
	 * @return the number of distinct addresses
	 */
	public int count(long now) {
		return selection(now).count();
	}

	/**
	 * Returns the addresses that a caller should use: selected VMs of its region if the
	 * region has enough, otherwise selected from all regions.
	 * @param region the caller's region
	 * @param max the maximum number of addresses
	 * @param now the current time in milliseconds
	 * @return distinct addresses
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
			c = Selection.of(byRegion, ServingVmSelector.select(all), all.size(), others(all), until);
			this.selection = c;
		}
		return c;
	}

	/**
	 * Returns the other VMs that open tunnels to workers.
	 * @param now the current time in milliseconds
	 * @return the VMs
	 */
	List<EntryVm> tunnelVms(long now) {
		return selection(now).others().stream().filter((v) -> !v.tunnelAddress().isEmpty()).toList();
	}

	/**
	 * Returns the addresses at which other VMs accept messages.
	 * @param now the current time in milliseconds
	 * @return the addresses
	 */
	public List<String> peerAddresses(long now) {
		return selection(now).peerAddresses();
	}

	private List<EntryVm> others(List<EntryVm> live) {
		String own = (this.self != null) ? this.self.key() : "";
		return live.stream().filter((v) -> !v.key().equals(own)).toList();
	}

	boolean isRegistered(EntryVm vm) {
		return this.byKey.containsKey(vm.key());
	}

	/**
	 * Returns the number of VMs that callers of this VM's region are directed to.
	 * @param now the current time in milliseconds
	 * @return the number of VMs, at least 1
	 */
	int servingCountOwnRegion(long now) {
		return (this.self != null) ? Math.max(1, serving(this.self.region(), now).size()) : 1;
	}

	/**
	 * Returns the number of VMs that callers of any region are directed to.
	 * @param now the current time in milliseconds
	 * @return the number of VMs, at least 1
	 */
	int servingCountAllRegions(long now) {
		return Math.max(1, selection(now).addresses().size());
	}

	/**
	 * Returns the index of this VM among the VMs that callers of any region are directed
	 * to. The order is the same on all VMs with the same view of the registrations.
	 * @param now the current time in milliseconds
	 * @return the index, from 0; -1 if callers are directed to other VMs; 0 if this VM
	 * has not registered itself or no VM is known
	 */
	int servingIndex(long now) {
		List<String> addresses = selection(now).addresses();
		return (this.self == null || addresses.isEmpty()) ? 0 : addresses.indexOf(this.self.address());
	}

	/**
	 * Returns whether the callers of this VM's region are directed to other VMs.
	 * @param now the current time in milliseconds
	 * @return {@code false} if this VM serves callers or is not registered
	 */
	public boolean isStandby(long now) {
		EntryVm vm = this.self;
		return vm != null && this.byKey.containsKey(vm.key())
				&& serving(vm.region(), now).stream().noneMatch((v) -> v.address().equals(vm.address()));
	}

	/**
	 * Returns whether callers of this VM's region are also directed to another VM that is
	 * not overloaded.
	 * @param now the current time in milliseconds
	 * @return {@code false} if there is none or this VM has not registered itself
	 */
	public boolean hasAlternatives(long now) {
		EntryVm vm = this.self;
		return vm != null && serving(vm.region(), now).stream()
			.anyMatch((v) -> !v.overloaded() && !v.address().equals(vm.address()));
	}

	// If two registrations share an address, the later one wins: a restarted process
	// reuses the address while its previous registration has not expired yet.
	private List<EntryVm> liveVms(long now) {
		this.byKey.values().removeIf((e) -> now >= e.until());
		Map<String, EntryVm> byAddress = new LinkedHashMap<>();
		this.byKey.values().forEach((e) -> byAddress.put(e.vm().address(), e.vm()));
		return List.copyOf(byAddress.values());
	}

	private record Registration(EntryVm vm, long until) {

	}

	/**
	 * The VMs selected to serve callers. Immutable.
	 *
	 * @param byRegion the selected VMs of each region that has enough
	 * @param allRegions the selected VMs for callers of any other region
	 * @param addresses the addresses of the VMs in {@code byRegion}, or in
	 * {@code allRegions} if no region has enough, in an order that all VMs agree on
	 * @param count the number of all VMs
	 * @param others all VMs but this one
	 * @param peerAddresses the addresses at which they accept messages
	 * @param until when the first of all registrations expires, in milliseconds
	 */
	private record Selection(Map<String, List<EntryVm>> byRegion, List<EntryVm> allRegions, List<String> addresses,
			int count, List<EntryVm> others, List<String> peerAddresses, long until) {

		static Selection of(Map<String, List<EntryVm>> byRegion, List<EntryVm> allRegions, int count,
				List<EntryVm> others, long until) {
			List<String> ordered = new ArrayList<>();
			byRegion.keySet()
				.stream()
				.sorted()
				.forEach((r) -> byRegion.get(r).forEach((v) -> ordered.add(v.address())));
			List<String> all = byRegion.isEmpty() ? allRegions.stream().map(EntryVm::address).toList() : ordered;
			List<String> peers = others.stream().map(EntryVm::peerAddress).filter((a) -> !a.isEmpty()).toList();
			return new Selection(byRegion, allRegions, all, count, others, peers, until);
		}

		List<EntryVm> forRegion(String region) {
			return this.byRegion.getOrDefault(region, this.allRegions);
		}

	}

}
