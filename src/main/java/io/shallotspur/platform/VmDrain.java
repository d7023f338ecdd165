package io.shallotspur.platform;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import org.tinylog.Logger;

import io.shallotspur.adapter.tunnel.TunnelServer;
import io.shallotspur.gateway.Gateway;

/**
 * Decides when a VM that was told to stop may close its sockets: as soon as it owes
 * nothing to callers or to VMs that reach workers through it, and at the latest when it
 * has to exit. Confined to the event loop, so that no request is read between the
 * decision and the close of its connection.
 */
final class VmDrain {

	private static final long POLL_MS = 20;

	// Reads of the loop, one after the other, in which no request came. The first may
	// accept a connection whose request is only found by the second. A loop that was
	// behind has requests waiting that nothing here knows of.
	private static final int MIN_QUIET_READS = 3;

	private final VmEventLoop loop;

	private final LongSupplier clock;

	private final Gateway gateway;

	private final CallerConnections callers;

	private final TunnelServer tunnels;

	private final BooleanSupplier storeUnavailable;

	private final DrainTimes times;

	private final CompletableFuture<Void> done = new CompletableFuture<>();

	private Runnable stopListening = () -> {
	};

	private Runnable endReading = () -> {
	};

	private boolean listening = true;

	private boolean ended;

	private long openedBefore;

	private int quietReads;

	VmDrain(VmEventLoop loop, LongSupplier clock, Gateway gateway, CallerConnections callers, TunnelServer tunnels,
			BooleanSupplier storeUnavailable, DrainTimes times) {
		this.loop = loop;
		this.clock = clock;
		this.gateway = gateway;
		this.callers = callers;
		this.tunnels = tunnels;
		this.storeUnavailable = storeUnavailable;
		this.times = times;
	}

	/**
	 * Begins the drain.
	 * @param closeListener closes the listening socket for callers
	 * @param refuseUnread refuses the requests of callers that are not read whole
	 * @return completes when the sockets may be closed
	 */
	Future<Void> start(Runnable closeListener, Runnable refuseUnread) {
		this.stopListening = closeListener;
		this.endReading = refuseUnread;
		this.loop.execute(() -> {
			this.gateway.drain(this.times.refuseFrom(), this.times.endAt());
			step();
		});
		return this.done;
	}

	private void step() {
		long now = this.clock.getAsLong();
		if (now >= this.times.refuseFrom()) {
			this.tunnels.drain();
			countQuietReads();
			stopListeningIfQuiet(now);
			closeIfNothingIsOwed(now);
		}
		if (this.done.isDone()) {
			return;
		}
		if (this.quietReads > 0 && this.quietReads < MIN_QUIET_READS) {
			this.loop.executeAfterNextRead(this::step);
		}
		else {
			this.loop.schedule(POLL_MS, this::step);
		}
	}

	private void countQuietReads() {
		boolean quiet = !isOwed() && this.callers.openedCount() == this.openedBefore;
		this.openedBefore = this.callers.openedCount();
		this.quietReads = quiet ? this.quietReads + 1 : 0;
	}

	// The listening socket stays open until just before the end. Callers with a cached
	// address would otherwise be refused while the last streams still run here. While the
	// store is unavailable they keep the address, because other VMs do not learn that
	// this one is leaving, and a newly started VM has no configuration.
	private void stopListeningIfQuiet(long now) {
		boolean quiet = this.quietReads >= MIN_QUIET_READS && !this.storeUnavailable.getAsBoolean();
		if (this.listening && (quiet || now >= this.times.stopListeningAt())) {
			this.listening = false;
			this.stopListening.run();
		}
	}

	private void closeIfNothingIsOwed(long now) {
		if (this.listening) {
			return;
		}
		if (!this.ended && now >= this.times.endAt()) {
			this.ended = true;
			this.gateway.endOpenRequests();
			this.endReading.run();
			this.callers.growSendBuffers();
		}
		if (this.quietReads >= MIN_QUIET_READS || now >= this.times.closeAt()) {
			Logger.info("[run] stopped left: requests={} connections={} unwritten-bytes={} tunnels={}",
					this.gateway.inProgress(), this.callers.owedCount(), this.callers.unwrittenBytes(),
					this.tunnels.openTunnels());
			this.callers.closeAll();
			this.done.complete(null);
		}
	}

	private boolean isOwed() {
		return this.gateway.inProgress() > 0 || this.callers.owedCount() > 0 || this.tunnels.openTunnels() > 0;
	}

}
