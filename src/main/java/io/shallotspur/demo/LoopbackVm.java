package io.shallotspur.demo;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

import io.shallotspur.adapter.peer.PeerCodec;
import io.shallotspur.adapter.peer.PeerSettings;
import io.shallotspur.adapter.peer.PeerTraffic;
import io.shallotspur.adapter.peer.TcpPeerNetwork;
import io.shallotspur.adapter.store.HttpKvStore;
import io.shallotspur.adapter.vmlist.HttpVmList;
import io.shallotspur.exc.SettingsException;
import io.shallotspur.membership.Member;
import io.shallotspur.membership.MemberStatus;
import io.shallotspur.node.cluster.ClusterMessages;
import io.shallotspur.node.cluster.ClusterService;
import io.shallotspur.port.VmEntry;

/**
 * The cluster service of one entry VM over real connections. Not thread-safe.
 */
final class LoopbackVm {

	private static final long CALL_TIMEOUT_MS = 2000;

	private static final long POLL_MS = 1000;

	private static final byte[] SECRET = "measure".getBytes(StandardCharsets.UTF_8);

	private final String id;

	private final TcpPeerNetwork network;

	private final Scheduler scheduler;

	private final ClusterService service;

	private final VmEntry entry;

	LoopbackVm(String id, String storeUrl, String listUrl, long seed) throws SettingsException {
		this.id = id;
		this.scheduler = Schedulers.newSingle("cluster-" + id, true);
		this.network = new TcpPeerNetwork(PeerSettings.of("127.0.0.1", 0, "measure", SECRET),
				ClusterMessages.register(PeerCodec.builder()).build());
		InetSocketAddress bound = Objects.requireNonNull(this.network.start().block());
		String address = "127.0.0.1:" + bound.getPort();
		this.entry = new VmEntry(id, "hall-a", address, address, false);
		Member self = new Member(id, "hall-a", address, address, System.currentTimeMillis(), MemberStatus.ALIVE);
		this.service = new ClusterService(self, List.of(),
				new ClusterService.Ports(this.network, new HttpKvStore(storeUrl, CALL_TIMEOUT_MS),
						new HttpVmList(listUrl, CALL_TIMEOUT_MS), this.scheduler,
						() -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime())),
				POLL_MS, seed);
	}

	String id() {
		return this.id;
	}

	VmEntry entry() {
		return this.entry;
	}

	ClusterService service() {
		return this.service;
	}

	PeerTraffic traffic() {
		return this.network.traffic();
	}

	void start() {
		this.service.start().subscribe();
	}

	/**
	 * Ends everything without a word, as a process that dies does.
	 */
	void kill() {
		this.scheduler.dispose();
		this.network.stop();
	}

}
