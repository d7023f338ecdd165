package io.shallotspur.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;

import io.shallotspur.exc.StoreHistoryGoneException;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.gateway.Gateway;
import io.shallotspur.gateway.GatewayTimer;

/**
 * Keeps a gateway's configuration, workers and entry VMs in sync with the registry by a
 * listing followed by watches. Not thread-safe: confined to the gateway's thread, on
 * which the registry must answer.
 * <p>
 * Invariants: at most one call is in flight; changes are applied in the order of the
 * store's eras and revisions; while the store is unavailable, the last known state stays;
 * after a restore from an older snapshot, known state that is stricter than the
 * snapshot's stays until the other writers have had time to write again.
 */
public final class RegistryWatcher {

	// Changes come in bursts (a release, many workers that start). A pause before the
	// next call batches changes that would otherwise take one call each, ms. Every VM
	// fetches every change, so the pause grows with the number of VMs: in a small fleet
	// calls cost little, and a worker's end should be known soon.
	private static final long MIN_BATCH_MS = 150;

	private static final long BATCH_MS_PER_VM = 6;

	// Retry delays after a failure, ms. All VMs lose the store at the same time; half of
	// the delay is random so that they do not all retry at the same moment. A standby VM
	// does not need to know immediately that the store is back, and refused calls are
	// billed like any others.
	private static final long RETRY_MS = 200;

	private static final long MAX_RETRY_MS = 800;

	private static final long MAX_STANDBY_RETRY_MS = 2_000;

	// Data that was lost in a restore from an older snapshot is written again within
	// this time, ms.
	private static final long UNSETTLED_MS = StoreOutageTracker.REWRITE_MS + 500;

	// After a restore, listings and registrations are spread over this many ms times the
	// number of VMs. Otherwise hundreds of VMs would call the store at the same moment
	// when it has just come back.
	private static final double SPREAD_MS_PER_VM = 2;

	private final Registry registry;

	private final Gateway gateway;

	private final ChangeApplier applier;

	private final GatewayTimer timer;

	private final LongSupplier clock;

	private final DoubleSupplier random;

	private final StoreOutageTracker outages;

	private final long standbyBatchMs;

	private final long watchMs;

	private Disposable call = Disposables.disposed();

	private long calls;

	private boolean inFlight;

	private boolean watching;

	// The position up to which changes are applied; null if a listing is needed first.
	private @Nullable StorePosition position;

	// Number of restores; a settling period is void if another restore follows.
	private long restores;

	private long settlesAt = StoreOutageTracker.NEVER;

	private long settledEra = -1;

	private final List<LongConsumer> restoreListeners = new ArrayList<>();

	private LongConsumer staleDataListener = (ms) -> {
	};

	private Runnable cancelNext = () -> {
	};

	private long sentAt;

	private volatile boolean storeUnavailable = true;

	private long retryMs = RETRY_MS;

	private boolean initialized;

	private boolean stopped;

	/**
	 * Creates a watcher.
	 * @param registry the registry
	 * @param gateway the gateway
	 * @param timer the gateway's timer
	 * @param clock supplies the current time in milliseconds
	 * @param random supplies random numbers from 0 to 1
	 * @param deadlines how soon changes must be applied
	 */
	public RegistryWatcher(Registry registry, Gateway gateway, GatewayTimer timer, LongSupplier clock,
			DoubleSupplier random, ChangeDeadlines deadlines) {
		this.registry = registry;
		this.gateway = gateway;
		this.applier = new ChangeApplier(gateway);
		this.timer = timer;
		this.clock = clock;
		this.random = random;
		this.outages = new StoreOutageTracker(deadlines.workerDrainMs(), deadlines.workerHeartbeatMs());
		this.standbyBatchMs = deadlines.standbyBatchMs();
		this.watchMs = deadlines.watchMs();
		registry.setRestoreListener(this::onStoreRestored);
		this.applier.setSettledListener((e) -> this.settledEra = Math.max(this.settledEra, e));
	}

	/**
	 * Sets this VM's own registration.
	 * @param key its key
	 * @param onGone called when the store no longer has it
	 */
	public void setOwnRegistration(String key, Runnable onGone) {
		this.applier.setOwnRegistration(key, onGone);
	}

	/**
	 * Sets the leadership that is notified of changes of the leader.
	 * @param leadership the leadership
	 */
	public void setLeadership(Leadership leadership) {
		this.applier.setLeadership(leadership);
	}

	/**
	 * Sets the receiver of the engine statistics that other VMs publish.
	 * @param shared the receiver
	 */
	public void setSharedStats(SharedEngineStats shared) {
		this.applier.setStatsListener(shared::onStats);
		addRestoreListener((ms) -> shared.onStoreRestored());
	}

	/**
	 * Sets the receiver of what other VMs publish about requests that crash workers.
	 * @param shared the receiver
	 */
	public void setSharedQuarantine(SharedQuarantine shared) {
		this.applier.setSuspectsListener(shared::onPublished);
		addRestoreListener(shared::onStoreRestored);
	}

	/**
	 * Sets the receiver of the workers' versions and of their announcements.
	 * @param shared the receiver
	 */
	public void setSharedVersions(SharedVersions shared) {
		this.applier.setVersionListeners(shared::onAnnounced, shared::onWorker);
		addRestoreListener((ms) -> shared.onStoreRestored());
		shared.setRegistryUnavailable(this::storeUnavailable);
	}

	/**
	 * Adds a listener for restores of the store from an older snapshot.
	 * @param listener called immediately with the time to wait before calling the store
	 * because of the restore, in milliseconds
	 */
	public void addRestoreListener(LongConsumer listener) {
		this.restoreListeners.add(listener);
	}

	/**
	 * Sets the listener for periods in which the store may lack data that its writers had
	 * written.
	 * @param listener called immediately with the length of the period, in milliseconds
	 */
	public void setStaleDataListener(LongConsumer listener) {
		this.staleDataListener = listener;
	}

	/**
	 * Starts with a listing.
	 */
	public void start() {
		list();
	}

	/**
	 * Stops and cancels the call in flight.
	 */
	public void stop() {
		this.stopped = true;
		this.cancelNext.run();
		this.call.dispose();
	}

	/**
	 * Returns whether the last call to the store failed, or none has succeeded yet.
	 * @return {@code true} if the store is considered unavailable
	 */
	public boolean storeUnavailable() {
		return this.storeUnavailable;
	}

	/**
	 * Returns whether the registry has been listed since the start.
	 * @return {@code true} once it has been
	 */
	public boolean initialized() {
		return this.initialized;
	}

	/**
	 * Returns the age of what is known of the store: the time since the last answered
	 * call was sent. A watch that waits proves nothing yet.
	 * @return milliseconds; -1 before the first answer
	 */
	public long knownAgeMs() {
		return this.outages.updateAgeMs(this.clock.getAsLong());
	}

	/**
	 * Returns the revision of the store up to which changes are applied.
	 * @return the revision; 0 if a listing is needed first
	 */
	public long revision() {
		StorePosition p = this.position;
		return (p != null) ? p.revision() : 0;
	}

	/**
	 * Handles a call of another component that the store did not answer. A pending watch
	 * may be lost, so it is cancelled, and the store is polled without a wait until it
	 * answers. Otherwise a configuration could stay unknown here for seconds after the
	 * store is back. A listing is not cancelled: over a slow link, it may itself have
	 * delayed the other call, and would start again each time.
	 */
	public void onCallUnanswered() {
		if (this.inFlight && this.watching && !this.storeUnavailable) {
			this.call.dispose();
			// The unanswered call was sent before this watch, perhaps during a network
			// failure that has ended.
			handleFailure(new StoreUnavailableException("The store did not answer another call.", "watch"),
					StoreOutageTracker.NEVER);
		}
		else if (this.storeUnavailable) {
			// Polls may be far apart, and the outage goes on.
			this.outages.recordFailure(StoreOutageTracker.NEVER, this.clock.getAsLong());
		}
	}

	/**
	 * Handles an answered call of another component. It brings no changes, but shows that
	 * the store was available: entries that are missing after a watch was lost have not
	 * expired.
	 * @param ageMs the time since the call was sent, in milliseconds
	 */
	public void onCallAnswered(long ageMs) {
		this.outages.recordReached(this.clock.getAsLong() - ageMs);
	}

	private void list() {
		this.watching = false;
		run(this.registry.list(), this::onListing);
	}

	private void resume() {
		StorePosition p = this.position;
		if (p != null) {
			watch(p);
		}
		else {
			list();
		}
	}

	private void watch(StorePosition p) {
		// A waiting call that is lost with a silent store is noticed only after its wait.
		// Until the store has answered again, it is polled without a wait. Otherwise a
		// configuration could stay unknown here for seconds after the store is back.
		this.watching = true;
		run(this.registry.watch(p, this.storeUnavailable ? 0 : this.watchMs), this::onChanges);
	}

	// A restored store shows outdated data until the other writers have written again.
	// The registry is listed soon after the restore is noticed and once more at the end
	// of that period, because entries that nobody rewrites cause no change event.
	private void onStoreRestored(long era) {
		long now = this.clock.getAsLong();
		Logger.warn("[registry] store restored era={} known={}", era, this.position);
		this.outages.recordRestore(this.storeUnavailable, now);
		this.gateway.roster().extendGracePeriods(now, this.outages.lapseGraceEndsAt());
		double spread = SPREAD_MS_PER_VM * this.gateway.entryVms().count(now);
		this.applier.onStoreRestored(now);
		this.restoreListeners.forEach((r) -> r.accept((long) (spread * this.random.getAsDouble())));
		relist((long) (spread * this.random.getAsDouble()));
		beginUnsettledPeriod(now);
	}

	private void beginUnsettledPeriod(long now) {
		long n = ++this.restores;
		this.staleDataListener.accept(UNSETTLED_MS);
		this.settlesAt = now + UNSETTLED_MS;
		this.applier.setUnsettledUntil(this.settlesAt);
		this.timer.schedule(UNSETTLED_MS, () -> {
			if (n == this.restores) {
				relist(0);
			}
		});
	}

	private void relist(long delayMs) {
		this.call.dispose();
		this.inFlight = false;
		this.position = null;
		scheduleNext(delayMs);
	}

	// At most one call is scheduled; a second chain of calls would double their number.
	private void scheduleNext(long delayMs) {
		this.cancelNext.run();
		this.cancelNext = this.timer.schedule(delayMs, this::resume);
	}

	private void run(Mono<RegistryUpdate> request, Consumer<RegistryUpdate> handler) {
		if (this.stopped) {
			return;
		}
		long n = ++this.calls;
		this.sentAt = this.clock.getAsLong();
		this.inFlight = true;
		Disposable d = request.doOnTerminate(() -> this.inFlight = false).subscribe(handler, this::onFailure);
		// If the response came immediately, its handler has already made the next call.
		if (n == this.calls) {
			this.call = d;
		}
	}

	private void onListing(RegistryUpdate update) {
		markAvailable();
		long now = this.clock.getAsLong();
		this.applier.applyListing(update, this.initialized, gracePeriods(now), now);
		this.position = update.position();
		this.outages.recordAnswer(this.sentAt);
		checkSettled(update.position().era(), now);
		this.initialized = true;
		watch(update.position());
	}

	// A VM that starts cannot know whether the store was restored shortly before. It
	// assumes so unless another VM has recorded that this era has settled.
	private void checkSettled(long era, long now) {
		boolean settled = era <= Math.max(0, this.settledEra);
		if (!this.initialized && !settled) {
			beginUnsettledPeriod(now);
		}
		else if (!settled && now >= this.settlesAt) {
			this.registry.publishSettled(era)
				.subscribe((ok) -> Logger.info("[registry] published settled era={} done={}", era, ok),
						(ex) -> Logger.info("[registry] not published settled era={} seen=\"{}\"", era, ex.toString()));
		}
	}

	private void onChanges(RegistryUpdate update) {
		markAvailable();
		long now = this.clock.getAsLong();
		this.applier.applyChanges(update, gracePeriods(now), now);
		StorePosition p = this.position;
		this.position = (p != null && p.compareTo(update.position()) > 0) ? p : update.position();
		this.outages.recordAnswer(this.sentAt);
		if (update.changes().isEmpty()) {
			watch(this.position);
		}
		else {
			scheduleNext(batchMs(now));
		}
	}

	private long batchMs(long now) {
		long serving = Math.max(MIN_BATCH_MS,
				Math.min(ChangeDeadlines.MAX_BATCH_MS, BATCH_MS_PER_VM * this.gateway.entryVms().count(now)));
		boolean standby = this.gateway.entryVms().isStandby(now) && !this.applier.isLeader();
		return standby ? Math.max(serving, this.standbyBatchMs) : serving;
	}

	private ChangeApplier.GracePeriods gracePeriods(long now) {
		return new ChangeApplier.GracePeriods(this.outages.workerGraceEndsAt(now), this.outages.vmGraceEndsAt(),
				this.outages.updateAgeMs(now), this.outages.sinceFailureMs(now));
	}

	private void markAvailable() {
		if (this.storeUnavailable) {
			Logger.info("[registry] store reached");
		}
		this.storeUnavailable = false;
		this.retryMs = RETRY_MS;
	}

	private void onFailure(Throwable ex) {
		if (this.stopped) {
			return;
		}
		if (ex instanceof StoreHistoryGoneException) {
			this.inFlight = false;
			Logger.info("[registry] history gone known={} seen=\"{}\"", this.position, ex.getMessage());
			this.position = null;
			list();
		}
		else {
			handleFailure(ex, this.sentAt);
		}
	}

	private void handleFailure(Throwable ex, long callSentAt) {
		this.inFlight = false;
		if (!this.storeUnavailable) {
			Logger.warn("[registry] store lost known={} seen=\"{}\"", this.position, ex.toString());
		}
		this.storeUnavailable = true;
		long now = this.clock.getAsLong();
		if (this.watching && now - callSentAt > this.watchMs && callSentAt != StoreOutageTracker.NEVER) {
			this.outages.recordOverdue(callSentAt, now);
		}
		else {
			this.outages.recordFailure(callSentAt, now);
		}
		this.gateway.roster().extendGracePeriods(now, this.outages.lapseGraceEndsAt());
		long delay = (long) (this.retryMs * (0.5 + 0.5 * this.random.getAsDouble()));
		long max = this.gateway.entryVms().isStandby(now) ? MAX_STANDBY_RETRY_MS : MAX_RETRY_MS;
		this.retryMs = Math.min(max, this.retryMs * 2);
		scheduleNext(delay);
	}

}
