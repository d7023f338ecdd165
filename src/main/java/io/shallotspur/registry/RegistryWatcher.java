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
 * Keeps a gateway's configuration, workers and entry VMs as the registry has them. Not
 * thread-safe: confined to the gateway's thread, on which the registry must answer.
 * <p>
 * Invariants: one call is under way at a time; changes are applied in the order of the
 * store's eras and revisions; while the store cannot be reached all stays as it was last
 * known; after its return from an older copy what is known and stricter stays until
 * others have had the time to write again.
 */
public final class RegistryWatcher {

	// Calls are billed, and one that waits longer brings the same changes, ms; half of
	// the longest wait that a store grants.
	private static final long WATCH_MS = 15_000;

	// Changes come in bursts (a release, many workers at a start). One call after a
	// pause fetches what would take a call each, ms. Every VM fetches every change, so
	// the pause grows with the VMs: with few, calls cost little and a worker's end
	// should be known soon.
	private static final long LEAST_PAUSE_MS = 150;

	private static final long PAUSE_MS_A_VM = 6;

	// Retries after a failure, ms. All VMs lose the store together; half of the pause is
	// drawn at random, lest they all return in the same moment. A VM that stands by need
	// not know at once that the store is back; a refused call is billed like any other.
	private static final long RETRY_MS = 200;

	private static final long MAX_RETRY_MS = 800;

	private static final long MAX_STANDBY_RETRY_MS = 2_000;

	// What was lost when the store came back from an older copy is written again within
	// this time, ms.
	private static final long RESTORE_MS = StoreOutageTracker.REWRITE_MS + 500;

	// VMs that read and register anew after such a return are spread over so many ms for
	// each of them, lest hundreds fall on a store that has just come back.
	private static final double SPREAD_MS_A_VM = 2;

	private final Registry registry;

	private final Gateway gateway;

	private final ChangeApplier applier;

	private final GatewayTimer timer;

	private final LongSupplier clock;

	private final DoubleSupplier random;

	private final StoreOutageTracker absence;

	private final long standbyPauseMs;

	private Disposable call = Disposables.disposed();

	private long calls;

	private boolean underWay;

	// What is known of the store; null if all has to be read first.
	private @Nullable StorePosition point;

	// Counts the returns from a copy; what was begun before one is over.
	private long restores;

	private long settlesAt = StoreOutageTracker.NEVER;

	private long settledEra = -1;

	private final List<LongConsumer> onRestored = new ArrayList<>();

	private LongConsumer onOutdated = (ms) -> {
	};

	private Runnable cancelNext = () -> {
	};

	private long askedAt;

	private volatile boolean storeUnavailable = true;

	private long retryMs = RETRY_MS;

	private boolean initialized;

	private boolean stopped;

	/**
	 * Creates a follower.
	 * @param registry the registry
	 * @param gateway the gateway
	 * @param timer the gateway's timer
	 * @param clock the present time in milliseconds
	 * @param random numbers from 0 to 1
	 * @param bounds how soon changes have to be acted on
	 */
	public RegistryWatcher(Registry registry, Gateway gateway, GatewayTimer timer, LongSupplier clock,
			DoubleSupplier random, ChangeDeadlines bounds) {
		this.registry = registry;
		this.gateway = gateway;
		this.applier = new ChangeApplier(gateway);
		this.timer = timer;
		this.clock = clock;
		this.random = random;
		this.absence = new StoreOutageTracker(bounds.workerDrainMs());
		this.standbyPauseMs = bounds.standbyBatchMs();
		registry.setRestoreListener(this::restored);
		this.applier.settled((e) -> this.settledEra = Math.max(this.settledEra, e));
	}

	/**
	 * Says which registration is this VM's own.
	 * @param key its key
	 * @param onGone called when the store no longer has it
	 */
	public void setOwnRegistration(String key, Runnable onGone) {
		this.applier.own(key, onGone);
	}

	/**
	 * Says who is to hear of the duty.
	 * @param duty the duty
	 */
	public void setLeadership(Leadership duty) {
		this.applier.duty(duty);
	}

	/**
	 * Says who is to hear what other VMs have seen of the engines.
	 * @param shared the figures
	 */
	public void setSharedStats(SharedEngineStats shared) {
		this.applier.figures(shared::onStats);
		addRestoreListener((ms) -> shared.onStoreRestored());
	}

	/**
	 * Says who else is to hear that the store has come back from an older copy.
	 * @param then told at once; takes how long to wait before the store is called because
	 * of it, in milliseconds
	 */
	public void addRestoreListener(LongConsumer then) {
		this.onRestored.add(then);
	}

	/**
	 * Says who is to hear that the store may show less than its writers had written.
	 * @param then told at once; takes for how long, in milliseconds
	 */
	public void setStaleDataListener(LongConsumer then) {
		this.onOutdated = then;
	}

	/**
	 * Begins to follow.
	 */
	public void start() {
		list();
	}

	/**
	 * Stops; the call under way is given up.
	 */
	public void stop() {
		this.stopped = true;
		this.cancelNext.run();
		this.call.dispose();
	}

	/**
	 * Tells whether the store answered when it was last asked.
	 * @return {@code true} if it did not
	 */
	public boolean storeUnavailable() {
		return this.storeUnavailable;
	}

	/**
	 * Tells whether the registry has been read since the start.
	 * @return {@code true} once it has been
	 */
	public boolean initialized() {
		return this.initialized;
	}

	/**
	 * Takes that the store has not answered another call. A watch that waits there may be
	 * lost; it is given up, and the store is asked without a wait until it answers.
	 * Otherwise a configuration could be unknown here for seconds after the store's
	 * return.
	 */
	public void onCallUnanswered() {
		if (this.underWay && !this.storeUnavailable) {
			this.call.dispose();
			// The other call was sent before this watch, maybe into a cut that has ended.
			lost(new StoreUnavailableException("The store did not answer another call.", "watch"), StoreOutageTracker.NEVER);
		}
	}

	private void list() {
		run(this.registry.list(), this::onListing);
	}

	private void follow() {
		StorePosition p = this.point;
		if (p != null) {
			watch(p);
		}
		else {
			list();
		}
	}

	private void watch(StorePosition p) {
		// A call that waits and was lost with a silent store would be
		// noticed only after its wait; until the store has answered again
		// it is asked without one. Otherwise a configuration could be
		// unknown here for seconds after the store's return.
		run(this.registry.watch(p, this.storeUnavailable ? 0 : WATCH_MS), this::onChanges);
	}

	// A store that came back from a copy shows the past until others have written again.
	// All is read anew, once now and once when that time is over: entries that nobody
	// touches in it tell nothing of themselves later.
	private void restored(long era) {
		long now = this.clock.getAsLong();
		Logger.warn("[registry] store restored era={} known={}", era, this.point);
		this.absence.recordRestore(this.storeUnavailable, now);
		this.gateway.roster().extendGracePeriods(now, this.absence.lapseGraceEndsAt());
		double spread = SPREAD_MS_A_VM * this.gateway.entryVms().count(now);
		this.applier.restored(now);
		this.onRestored.forEach((r) -> r.accept((long) (spread * this.random.getAsDouble())));
		readAnew((long) (spread * this.random.getAsDouble()));
		unsettled(now);
	}

	private void unsettled(long now) {
		long n = ++this.restores;
		this.onOutdated.accept(RESTORE_MS);
		this.settlesAt = now + RESTORE_MS;
		this.applier.unsettledUntil(this.settlesAt);
		this.timer.schedule(RESTORE_MS, () -> {
			if (n == this.restores) {
				readAnew(0);
			}
		});
	}

	private void readAnew(long delayMs) {
		this.call.dispose();
		this.underWay = false;
		this.point = null;
		next(delayMs);
	}

	// At most one call is to come; a second chain of calls would double them.
	private void next(long delayMs) {
		this.cancelNext.run();
		this.cancelNext = this.timer.schedule(delayMs, this::follow);
	}

	private void run(Mono<RegistryUpdate> news, Consumer<RegistryUpdate> then) {
		if (this.stopped) {
			return;
		}
		long n = ++this.calls;
		this.askedAt = this.clock.getAsLong();
		this.underWay = true;
		Disposable d = news.doOnTerminate(() -> this.underWay = false).subscribe(then, this::onFailure);
		// A call that was answered at once has made the next one already.
		if (n == this.calls) {
			this.call = d;
		}
	}

	private void onListing(RegistryUpdate news) {
		reached();
		long now = this.clock.getAsLong();
		this.applier.listing(news, this.initialized, graces(now), now);
		this.point = news.position();
		this.absence.recordAnswer(this.askedAt);
		settle(news.position().era(), now);
		this.initialized = true;
		watch(news.position());
	}

	// A VM that starts cannot know whether the store has just come back from a copy. It
	// takes so unless another one has seen that era settle.
	private void settle(long era, long now) {
		boolean told = era <= Math.max(0, this.settledEra);
		if (!this.initialized && !told) {
			unsettled(now);
		}
		else if (!told && now >= this.settlesAt) {
			this.registry.publishSettled(era)
				.subscribe((ok) -> Logger.info("[registry] told settled era={} done={}", era, ok),
						(ex) -> Logger.info("[registry] not told settled era={} seen=\"{}\"", era, ex.toString()));
		}
	}

	private void onChanges(RegistryUpdate news) {
		reached();
		long now = this.clock.getAsLong();
		this.applier.changes(news, graces(now), now);
		StorePosition p = this.point;
		this.point = (p != null && p.compareTo(news.position()) > 0) ? p : news.position();
		this.absence.recordAnswer(this.askedAt);
		if (news.changes().isEmpty()) {
			watch(this.point);
		}
		else {
			next(pause(now));
		}
	}

	private long pause(long now) {
		long pause = Math.max(LEAST_PAUSE_MS,
				Math.min(ChangeDeadlines.MAX_BATCH_MS, PAUSE_MS_A_VM * this.gateway.entryVms().count(now)));
		boolean mayWait = this.gateway.entryVms().isStandby(now) && !this.applier.holdsDuty();
		return mayWait ? Math.max(pause, this.standbyPauseMs) : pause;
	}

	private ChangeApplier.Graces graces(long now) {
		return new ChangeApplier.Graces(this.absence.workerGraceEndsAt(), this.absence.vmGraceEndsAt(), this.absence.updateAgeMs(now),
				this.absence.sinceFailureMs(now));
	}

	private void reached() {
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
			this.underWay = false;
			Logger.info("[registry] history gone known={}", this.point);
			list();
		}
		else {
			lost(ex, this.askedAt);
		}
	}

	private void lost(Throwable ex, long askedAt) {
		this.underWay = false;
		if (!this.storeUnavailable) {
			Logger.warn("[registry] store lost known={} seen=\"{}\"", this.point, ex.toString());
		}
		this.storeUnavailable = true;
		long now = this.clock.getAsLong();
		this.absence.recordFailure(askedAt, now);
		this.gateway.roster().extendGracePeriods(now, this.absence.lapseGraceEndsAt());
		long pause = (long) (this.retryMs * (0.5 + 0.5 * this.random.getAsDouble()));
		long most = this.gateway.entryVms().isStandby(now) ? MAX_STANDBY_RETRY_MS : MAX_RETRY_MS;
		this.retryMs = Math.min(most, this.retryMs * 2);
		next(pause);
	}

}
