package io.shallotspur.boot;

import java.util.List;
import java.util.stream.Stream;

import io.shallotspur.membership.Member;
import io.shallotspur.membership.View;
import io.shallotspur.node.Owner;
import io.shallotspur.node.cluster.ClusterService;

/**
 * What other parts want to know of the membership, each in the form it wants.
 * Thread-safe.
 */
final class ClusterReadings {

	private static final String SHARD = "ledger-";

	private final ClusterService cluster;

	ClusterReadings(ClusterService cluster) {
		this.cluster = cluster;
	}

	/**
	 * Returns the preferred writer of a ledger shard.
	 * @param shard the shard
	 * @return its peer address; this VM's own if it knows of nobody
	 */
	String shardOwner(int shard) {
		View v = this.cluster.view();
		return v.owner(SHARD + shard).orElse(v.self()).peerAddress();
	}

	/**
	 * Tells whether one life of a VM may still go on.
	 * @param vm the name of the VM
	 * @param incarnation the life
	 * @return {@code false} if the VM is gone or has started again
	 */
	boolean isLive(String vm, long incarnation) {
		return members().anyMatch((m) -> m.id().equals(vm) && m.incarnation() <= incarnation);
	}

	/**
	 * Tells the same of a VM that is named by its peer address.
	 * @param address the peer address
	 * @param incarnation the life
	 * @return {@code false} if the VM is gone or has started again
	 */
	boolean isAlive(String address, long incarnation) {
		return members().anyMatch((m) -> m.peerAddress().equals(address) && m.incarnation() <= incarnation);
	}

	/**
	 * Finds who owns the cell of a worker.
	 * @param workerId the worker
	 * @return the owner
	 */
	Owner ownerOfWorker(String workerId) {
		return this.cluster.cells().findByWorker(workerId).<Owner>map((p) -> {
			boolean own = p.owner().id().equals(self().id());
			return own ? new Owner.Self(p.cell().name()) : new Owner.Peer(p.owner().peerAddress());
		}).orElseGet(Owner.Nobody::new);
	}

	/**
	 * Returns where the other live VMs are.
	 * @return their peer addresses
	 */
	List<String> others() {
		return this.cluster.view()
			.live()
			.stream()
			.filter((m) -> !m.id().equals(self().id()))
			.map(Member::peerAddress)
			.toList();
	}

	int liveCount() {
		return Math.max(1, this.cluster.view().live().size());
	}

	private Member self() {
		return this.cluster.view().self();
	}

	private Stream<Member> members() {
		View v = this.cluster.view();
		return Stream.of(Stream.of(v.self()), v.live().stream(), v.leaving().stream()).flatMap((s) -> s);
	}

}
