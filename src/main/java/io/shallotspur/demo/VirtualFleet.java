package io.shallotspur.demo;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

import io.shallotspur.adapter.peer.PeerCodec;
import io.shallotspur.membership.Member;
import io.shallotspur.membership.MembershipSettings;
import io.shallotspur.membership.View;
import io.shallotspur.node.cluster.ClusterMessages;
import io.shallotspur.port.KvStore;
import io.shallotspur.port.VmEntry;

/**
 * Some entry VMs in virtual time with a VM list that lags as it is told to. Not
 * thread-safe.
 */
public final class VirtualFleet {

	private static final long START = 1_000_000;

	private static final long LIST_POLL_MS = 1000;

	private static final int HASH_PRIME = 31;

	private final VirtualTime time = new VirtualTime(START);

	private final VirtualPeers peers;

	private final Map<String, VirtualVm> vms = new TreeMap<>();

	private final Map<String, VmEntry> listed = new TreeMap<>();

	private final MembershipSettings settings;

	private final KvStore store;

	private final long seed;

	/**
	 * Creates an empty fleet.
	 * @param settings of the failure detector
	 * @param store the key-value service
	 * @param delayMs the time of a message, in milliseconds
	 * @param seed for all that is random
	 */
	public VirtualFleet(MembershipSettings settings, KvStore store, long delayMs, long seed) {
		this.store = store;
		this.settings = settings;
		this.seed = seed;
		this.peers = new VirtualPeers(this.time, ClusterMessages.register(PeerCodec.builder()).build(), delayMs);
	}

	/**
	 * Starts VMs that are on the VM list.
	 * @param count how many
	 * @return this fleet
	 */
	public VirtualFleet start(int count) {
		for (int i = 1; i <= count; i++) {
			start("vm-" + i);
		}
		return this;
	}

	/**
	 * Starts a VM, or starts one again whose process ended.
	 * @param id its name
	 * @return the VM
	 */
	public VirtualVm start(String id) {
		VirtualVm vm = new VirtualVm(id, this.time, this.peers, this.settings, this.store,
				this.seed * HASH_PRIME + id.hashCode());
		this.vms.put(id, vm);
		this.listed.put(id, vm.entry(false));
		vm.loop().start();
		vm.contracts().start();
		vm.node().after(0, () -> poll(vm));
		return vm;
	}

	/**
	 * Ends a process without a word. The VM list still names it.
	 * @param id its name
	 */
	public void kill(String id) {
		vm(id).node().kill();
	}

	/**
	 * Changes what the VM list says of a VM.
	 * @param id its name
	 * @param listed whether it is listed
	 * @param leaving whether it is marked as leaving
	 */
	public void list(String id, boolean listed, boolean leaving) {
		if (listed) {
			this.listed.put(id, vm(id).entry(leaving));
		}
		else {
			this.listed.remove(id);
		}
	}

	/**
	 * Returns a VM.
	 * @param id its name
	 * @return the VM that was started last under that name
	 */
	public VirtualVm vm(String id) {
		VirtualVm vm = this.vms.get(id);
		if (vm == null) {
			throw new IllegalArgumentException(id);
		}
		return vm;
	}

	/**
	 * Returns all VMs, the killed ones among them.
	 * @return the VMs in order of their ids
	 */
	public Collection<VirtualVm> all() {
		return this.vms.values();
	}

	/**
	 * Returns the clock.
	 * @return the clock
	 */
	public VirtualTime time() {
		return this.time;
	}

	/**
	 * Returns the links.
	 * @return the links
	 */
	public VirtualPeers peers() {
		return this.peers;
	}

	/**
	 * Lets time pass until the view of every running VM satisfies a condition.
	 * @param condition the condition
	 * @param limitMs the longest time, in milliseconds
	 * @return how long it took in milliseconds, or -1 if it took longer
	 */
	public long until(Predicate<View> condition, long limitMs) {
		long t = this.time.now();
		Set<String> open = new HashSet<>(this.vms.keySet());
		boolean held = this.time.advanceUntil(() -> {
			open.removeIf((id) -> vm(id).node().isKilled() || condition.test(vm(id).view()));
			return open.isEmpty();
		}, limitMs);
		return held ? this.time.now() - t : -1;
	}

	/**
	 * Lets time pass until every running VM sees just these as live.
	 * @param ids the names
	 * @param limitMs the longest time, in milliseconds
	 * @return how long it took in milliseconds, or -1 if it took longer
	 */
	public long untilLive(Collection<String> ids, long limitMs) {
		Set<String> want = Set.copyOf(ids);
		return until((v) -> v.live().size() == want.size() && want.containsAll(idsOf(v)), limitMs);
	}

	private static List<String> idsOf(View v) {
		return v.live().stream().map(Member::id).toList();
	}

	private void poll(VirtualVm vm) {
		vm.loop().vmList(List.copyOf(this.listed.values()));
		vm.node().after(LIST_POLL_MS, () -> poll(vm));
	}

}
