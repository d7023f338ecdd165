package io.shallotspur.registry;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;

import io.shallotspur.gateway.EntryVmDirectory;
import io.shallotspur.port.PeerNetwork;

/**
 * Sends suspects to other VMs over the links between VMs. Not thread-safe; confined to
 * the gateway's thread, on which the network must call back.
 */
public final class PeerSuspects implements SuspectPeers {

	// Bounds the messages of one crash in a large fleet; the store tells the others.
	private static final int MAX_VMS = 64;

	private static final int MAX_REPORTS = 128;

	private final PeerNetwork peers;

	private final EntryVmDirectory vms;

	private final LongSupplier clock;

	private final MetricRegistry metrics;

	/**
	 * Creates an instance and sets its message handler.
	 * @param peers the links, not started yet
	 * @param vms the entry VMs
	 * @param clock supplies the gateway's time in milliseconds
	 * @param metrics counts messages
	 * @param receiver receives what other VMs tell
	 */
	public PeerSuspects(PeerNetwork peers, EntryVmDirectory vms, LongSupplier clock, MetricRegistry metrics,
			Consumer<List<SuspectReport>> receiver) {
		this.peers = peers;
		this.vms = vms;
		this.clock = clock;
		this.metrics = metrics;
		peers.onSend(SuspectsMessage.class, (m) -> receiver.accept(m.reports()));
	}

	@Override
	public void tell(List<SuspectReport> reports) {
		List<String> addresses = this.vms.peerAddresses(this.clock.getAsLong()).stream().limit(MAX_VMS).toList();
		for (int from = 0; from < reports.size(); from += MAX_REPORTS) {
			SuspectsMessage m = new SuspectsMessage(
					reports.subList(from, Math.min(reports.size(), from + MAX_REPORTS)));
			addresses.forEach((a) -> this.peers.send(a, m));
			this.metrics.counter("quarantine.told-peers").inc(addresses.size());
		}
	}

}
