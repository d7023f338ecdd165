package io.shallotspur.demo;

import java.time.Duration;

import reactor.core.publisher.Mono;

import io.shallotspur.distribution.ContractStore;
import io.shallotspur.membership.Member;
import io.shallotspur.membership.MemberStatus;
import io.shallotspur.membership.Membership;
import io.shallotspur.membership.MembershipSettings;
import io.shallotspur.membership.View;
import io.shallotspur.node.cluster.ContractLoop;
import io.shallotspur.node.cluster.MembershipLoop;
import io.shallotspur.port.KvStore;
import io.shallotspur.port.PeerNetwork;
import io.shallotspur.port.VmEntry;

/**
 * One entry VM in virtual time: the live membership loop over virtual links. Not
 * thread-safe.
 */
public final class VirtualVm {

	private final VirtualNode node;

	private final PeerNetwork network;

	private final MembershipLoop loop;

	private final ContractLoop contracts;

	private final Member self;

	VirtualVm(String id, VirtualTime time, VirtualPeers peers, MembershipSettings settings, KvStore store, long seed) {
		this.node = new VirtualNode(time);
		this.network = peers.join(id, this.node);
		this.self = new Member(id, "hall-a", id, id, time.now(), MemberStatus.ALIVE);
		this.loop = new MembershipLoop(new Membership(this.self, settings, seed, time.now()), this.network, this.node,
				time::now);
		this.contracts = new ContractLoop(
				new ContractStore(store, (ms) -> Mono.delay(Duration.ofMillis(ms), this.node)), this.network,
				this.loop::view, this.node, seed);
	}

	/**
	 * Returns the process.
	 * @return its scheduler
	 */
	public VirtualNode node() {
		return this.node;
	}

	/**
	 * Returns the links.
	 * @return the links of this VM
	 */
	public PeerNetwork network() {
		return this.network;
	}

	/**
	 * Returns the membership.
	 * @return the loop
	 */
	public MembershipLoop loop() {
		return this.loop;
	}

	/**
	 * Returns the contracts.
	 * @return the loop
	 */
	public ContractLoop contracts() {
		return this.contracts;
	}

	/**
	 * Returns the latest view.
	 * @return an immutable view
	 */
	public View view() {
		return this.loop.view();
	}

	/**
	 * Returns the name.
	 * @return the id, which is the address too
	 */
	public String id() {
		return this.self.id();
	}

	/**
	 * Returns the entry of this VM on the VM list.
	 * @param leaving whether it is marked as leaving
	 * @return the entry
	 */
	public VmEntry entry(boolean leaving) {
		return new VmEntry(id(), this.self.hall(), id(), id(), leaving);
	}

}
