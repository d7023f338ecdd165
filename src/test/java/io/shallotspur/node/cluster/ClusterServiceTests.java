package io.shallotspur.node.cluster;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.shallotspur.adapter.peer.PeerCodec;
import io.shallotspur.demo.VirtualNode;
import io.shallotspur.demo.VirtualPeers;
import io.shallotspur.demo.VirtualTime;
import io.shallotspur.distribution.ContractChange;
import io.shallotspur.fleet.Worker;
import io.shallotspur.membership.Member;
import io.shallotspur.membership.MemberStatus;
import io.shallotspur.node.CellAssignment;
import io.shallotspur.node.Location;
import io.shallotspur.node.Owner;
import io.shallotspur.port.VmEntry;
import io.shallotspur.testing.Contracts;
import io.shallotspur.testing.FakeKvStore;
import io.shallotspur.testing.FakeVmList;
import io.shallotspur.testing.Workers;

import static org.assertj.core.api.Assertions.assertThat;

class ClusterServiceTests {

	private static final int VMS = 5;

	private final VirtualTime time = new VirtualTime(1_000_000);

	private final VirtualPeers peers = new VirtualPeers(this.time,
			ClusterMessages.register(PeerCodec.builder()).build(), 1);

	private final FakeKvStore kv = new FakeKvStore();

	private final FakeVmList list = new FakeVmList();

	private final List<Worker> workers = Workers.model("draft-llm", 64);

	private final List<Vm> vms = new ArrayList<>();

	@BeforeEach
	void start() {
		for (int i = 0; i < VMS; i++) {
			this.vms.add(new Vm("vm-" + i));
		}
		assertThat(this.time.advanceUntil(() -> this.vms.stream().allMatch((v) -> v.service.isReady()), 20_000))
			.isTrue();
		this.time.advance(2000);
		this.vms.get(0).service.contracts()
			.change(Contracts.change("c", "lonestar", 0.5, ContractChange.ABSENT))
			.subscribe();
		this.time.advance(4000);
	}

	@Test
	void everyCellHasOneOwnerAndAllAgree() {
		assertThat(ownedBy(this.vms)).hasSize(6);
		for (long prefix = 0; prefix < 50; prefix++) {
			Owner first = owner(this.vms.get(0), prefix);
			for (Vm vm : this.vms) {
				assertThat(owner(vm, prefix)).isEqualTo(first);
			}
		}
	}

	/**
	 * A VM is told to stop while it works. Callers who ask anywhere must not be sent to
	 * it any more, its cells must have other owners at once, and after its last word
	 * nobody waits for it.
	 */
	@Test
	void aDrainedVmGivesEverythingAwayAtOnce() {
		Vm gone = this.vms.get(2);
		gone.service.drain().subscribe();
		this.time.advance(1000);
		assertThat(gone.owned).isEmpty();
		assertThat(gone.service.isReady()).isFalse();
		assertThat(ownedBy(this.vms)).hasSize(6);
		for (Vm vm : this.vms) {
			for (int i = 0; i < 20; i++) {
				Location l = vm.service.locate("lonestar", "summary", 0);
				assertThat(l.addresses()).isNotEmpty().doesNotContain("caller-vm-2");
				assertThat(l.ttlMs()).isLessThanOrEqualTo(3000);
			}
		}
		gone.service.close().subscribe();
		this.time.advance(1000);
		gone.node.kill();
		assertThat(this.vms.get(0).service.view().find("vm-2")).isEmpty();
	}

	/**
	 * The platform marks a worker's VM and an entry VM as leaving. Work given to either
	 * after a few seconds would be cut off when the machine goes.
	 */
	@Test
	void leavingMarksTakeEffectWithinThreeSeconds() {
		this.list.mark("draft-llm-5", true);
		this.list.mark("vm-3", true);
		this.time.advance(3000);
		assertThat(ownedBy(this.vms)).hasSize(6);
		assertThat(assignedWorkers()).hasSize(63).doesNotContain("draft-llm-5");
		assertThat(this.vms.get(3).owned).isEmpty();
		assertThat(this.vms.get(3).service.isLeaving()).isTrue();
		assertThat(this.vms.get(1).service.locate("lonestar", "summary", 0).addresses()).doesNotContain("caller-vm-3");
		this.list.mark("draft-llm-5", false);
		this.time.advance(3000);
		assertThat(assignedWorkers()).hasSize(64);
	}

	/**
	 * The VM list cannot be read for an hour. Everyone goes on with what is known.
	 */
	@Test
	void anOutageOfTheVmListChangesNothing() {
		Map<String, String> before = ownedBy(this.vms);
		this.list.setDown(true);
		this.time.advance(3_600_000);
		assertThat(ownedBy(this.vms)).isEqualTo(before);
	}

	@Test
	void aDeadVmsCellsMoveAndTheOthersStay() {
		Map<String, String> before = ownedBy(this.vms);
		Vm dead = this.vms.remove(1);
		dead.node.kill();
		this.time.advance(10_000);
		Map<String, String> after = ownedBy(this.vms);
		assertThat(after.keySet()).isEqualTo(before.keySet());
		after
			.forEach((cell, vm) -> assertThat(vm.equals(before.get(cell)) || before.get(cell).equals("vm-1")).isTrue());
	}

	private Set<String> assignedWorkers() {
		Set<String> ids = new HashSet<>();
		this.vms.forEach((v) -> v.owned.values().forEach((a) -> a.workers().forEach((w) -> ids.add(w.id()))));
		return ids;
	}

	private static Map<String, String> ownedBy(List<Vm> vms) {
		Map<String, String> m = new TreeMap<>();
		for (Vm vm : vms) {
			vm.owned.keySet().forEach((c) -> assertThat(m.put(c, vm.id)).isNull());
		}
		return m;
	}

	private static Owner owner(Vm vm, long prefix) {
		Owner o = vm.service.find("draft-llm", "lonestar", prefix);
		return (o instanceof Owner.Self) ? new Owner.Peer(vm.id) : o;
	}

	/**
	 * One entry VM with what it was told to own.
	 */
	private final class Vm implements CellSink {

		private final String id;

		private final VirtualNode node;

		private final ClusterService service;

		private final Map<String, CellAssignment> owned = new TreeMap<>();

		private Vm(String id) {
			ClusterServiceTests t = ClusterServiceTests.this;
			this.id = id;
			this.node = new VirtualNode(t.time);
			t.list.put(new VmEntry(id, "hall-a", id, "caller-" + id, false));
			Member self = new Member(id, "hall-a", id, "caller-" + id, t.time.now(), MemberStatus.ALIVE);
			this.service = new ClusterService(self, t.workers,
					new ClusterService.Ports(t.peers.join(id, this.node), t.kv, t.list, this.node, t.time::now), 1000,
					id.hashCode());
			this.service.attach(this, List::of);
			Objects.requireNonNull(this.service.start()).subscribe();
		}

		@Override
		public void assign(CellAssignment a) {
			this.owned.put(a.cell(), a);
		}

		@Override
		public void revoke(String cell) {
			this.owned.remove(cell);
		}

		@Override
		public void know(CellAssignment a) {
			assertThat(a.workers()).isNotEmpty();
		}

	}

}
