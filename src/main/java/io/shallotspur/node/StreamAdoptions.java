package io.shallotspur.node;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

import io.shallotspur.node.forward.StreamAdopted;
import io.shallotspur.port.PeerNetwork;

/**
 * The streams whose callers came back, to this VM or another one. Thread-safe. The VM
 * that reads a stream says so to the owner of its worker, again and again, so that a lost
 * message or a change of owner costs nothing.
 */
final class StreamAdoptions {

	/**
	 * How often a reader says so, in milliseconds.
	 */
	static final long REPEAT_MS = 1000;

	private static final long GOOD_FOR_MS = 5 * REPEAT_MS;

	private final NodePorts ports;

	private final PeerNetwork peers;

	private final Function<String, Owner> workerOwners;

	private final Map<String, Long> heardAt = new ConcurrentHashMap<>();

	/**
	 * Creates an empty set.
	 * @param ports gives the time
	 * @param peers the other VMs, not yet started
	 * @param workerOwners finds the owner of a worker's cell
	 */
	StreamAdoptions(NodePorts ports, PeerNetwork peers, Function<String, Owner> workerOwners) {
		this.ports = ports;
		this.peers = peers;
		this.workerOwners = workerOwners;
		peers.onSend(StreamAdopted.class, (m) -> hear(m.streamId()));
	}

	/**
	 * Says that a stream is read here.
	 * @param worker the worker that holds it
	 * @param streamId the stream
	 */
	void tell(String worker, String streamId) {
		hear(streamId);
		if (this.workerOwners.apply(worker) instanceof Owner.Peer p) {
			this.peers.send(p.address(), new StreamAdopted(worker, streamId));
		}
	}

	/**
	 * Returns whether a stream is read by a caller who came back.
	 * @param streamId the stream
	 * @param now the present time in milliseconds
	 * @return whether it is, as far as this VM has heard
	 */
	boolean isAdopted(String streamId, long now) {
		this.heardAt.values().removeIf((at) -> now - at > GOOD_FOR_MS);
		return this.heardAt.containsKey(streamId);
	}

	private void hear(String streamId) {
		this.heardAt.put(streamId, this.ports.clock().getAsLong());
	}

}
