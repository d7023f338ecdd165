package io.shallotspur.node.cluster;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

import io.shallotspur.membership.Membership;
import io.shallotspur.membership.MembershipAction;
import io.shallotspur.membership.MembershipMessage;
import io.shallotspur.membership.View;
import io.shallotspur.port.PeerNetwork;
import io.shallotspur.port.VmEntry;

/**
 * Runs the failure detector over the peer links. Thread-safe.
 * <p>
 * Invariant: the detector is touched by one scheduler thread only; all else reads the
 * latest view, which is immutable.
 */
public final class MembershipLoop {

	private static final long ANSWER_TIMEOUT_MS = 1000;

	private final Membership membership;

	private final PeerNetwork network;

	private final Scheduler scheduler;

	private final LongSupplier clock;

	private final List<Consumer<View>> listeners = new CopyOnWriteArrayList<>();

	private final Disposable.Composite running = Disposables.composite();

	private volatile View view;

	/**
	 * Creates a loop that does not run yet, and sets the handlers of its messages.
	 * @param membership the detector, not to be used by anyone else from now on
	 * @param network the peer links
	 * @param scheduler runs one task at a time
	 * @param clock gives the present time in milliseconds; it must never fall and must go
	 * on while the process is stopped
	 */
	public MembershipLoop(Membership membership, PeerNetwork network, Scheduler scheduler, LongSupplier clock) {
		this.membership = membership;
		this.network = network;
		this.scheduler = scheduler;
		this.clock = clock;
		this.view = membership.view();
		network.onAsk(MembershipMessage.Ping.class, (m) -> run(() -> membership.onPing(m, now(), this::act)));
		network.onAsk(MembershipMessage.SyncRequest.class,
				(m) -> run(() -> membership.onSyncRequest(m, now(), this::act)));
		network.onAsk(MembershipMessage.PingRequest.class,
				(m) -> network.ask(m.target().peerAddress(), m.ping(), ANSWER_TIMEOUT_MS));
		network.onSend(MembershipMessage.Gossip.class, (m) -> post(() -> membership.onGossip(m, now(), this::act)));
	}

	/**
	 * Starts to probe.
	 */
	public void start() {
		this.running.add(this.scheduler.schedulePeriodically(() -> this.membership.tick(now(), this::act), 0,
				Membership.TICK_MS, TimeUnit.MILLISECONDS));
	}

	/**
	 * Stops to probe without telling anyone.
	 */
	public void stop() {
		this.running.dispose();
	}

	/**
	 * Adds a listener that is told of each new view, on the loop's thread.
	 * @param listener the listener
	 */
	public void onView(Consumer<View> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Returns the latest view.
	 * @return an immutable view
	 */
	public View view() {
		return this.view;
	}

	/**
	 * Takes a newly read VM list.
	 * @param list the entries
	 */
	public void vmList(List<VmEntry> list) {
		post(() -> this.membership.candidates(list, now(), this::act));
	}

	/**
	 * Announces the leave of this VM.
	 */
	public void leave() {
		post(() -> this.membership.leave(now(), this::act));
	}

	/**
	 * Announces that this VM is gone.
	 */
	public void left() {
		post(() -> this.membership.left(now(), this::act));
	}

	private long now() {
		return this.clock.getAsLong();
	}

	private void act(MembershipAction a) {
		if (a instanceof MembershipAction.Probe p) {
			probe(p.address(), p.probe(), p.ping());
		}
		else if (a instanceof MembershipAction.ProbeThrough p) {
			probe(p.address(), p.probe(), p.request());
		}
		else if (a instanceof MembershipAction.Send s) {
			this.network.send(s.address(), s.message());
		}
		else if (a instanceof MembershipAction.Sync s) {
			sync(s);
		}
		else if (a instanceof MembershipAction.ViewChanged v) {
			announce(v.view());
		}
	}

	private void probe(String address, long probe, MembershipMessage message) {
		this.network.ask(address, message, ANSWER_TIMEOUT_MS)
			.ofType(MembershipMessage.Ack.class)
			.subscribe((ack) -> post(() -> this.membership.onAck(probe, ack, now(), this::act)),
					(ex) -> Logger.debug("[member] No answer from {}: {}.", address, ex.getMessage()));
	}

	private void sync(MembershipAction.Sync s) {
		this.network.ask(s.address(), s.request(), ANSWER_TIMEOUT_MS)
			.ofType(MembershipMessage.SyncReply.class)
			.subscribe((r) -> post(() -> this.membership.onSync(r, now(), this::act)),
					(ex) -> Logger.debug("[member] No members from {}: {}.", s.address(), ex.getMessage()));
	}

	private void announce(View v) {
		Logger.debug("[member] View {}: {} live, {} leaving.", v.version(), v.live().size(), v.leaving().size());
		this.view = v;
		this.listeners.forEach((l) -> l.accept(v));
	}

	private void post(Runnable task) {
		this.scheduler.schedule(task);
	}

	private <T> Mono<T> run(Supplier<T> task) {
		return Mono.fromSupplier(task).subscribeOn(this.scheduler);
	}

}
