package io.shallotspur.gateway;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

import io.shallotspur.quota.QuotaChanges;
import io.shallotspur.quota.QuotaLimiter;
import io.shallotspur.quota.QuotaShare;
import io.shallotspur.route.RouteTable;

/**
 * Relays callers' requests to workers. Not thread-safe: all methods are called on one
 * thread, and the ports call back on it.
 * <p>
 * Invariants: the configuration is never replaced by an older version; each request ends
 * exactly once, with a response, a refusal, an aborted response or the caller's
 * disconnect.
 */
public final class Gateway {

	private static final long SAMPLE_MS = 250;

	final GatewaySettings settings;

	final WorkerPort workerPort;

	final GatewayTimer timer;

	final LongSupplier clock;

	private final LongSupplier wallClock;

	private final SuspendAwareClock elapsed = new SuspendAwareClock();

	private Runnable cancelSampling = () -> {
	};

	final WorkerSelector.RandomSource random;

	final DecisionLog log;

	final RelayMetrics metrics;

	final WorkerDirectory roster = new WorkerDirectory();

	final EntryVmDirectory entryVms = new EntryVmDirectory();

	final RequestAgeEstimator requestAges = new RequestAgeEstimator();

	final UpstreamRetryBudget retryBudget;

	final SettledShare retrySlack;

	final WorkerAvailability workerAvailability;

	final QuotaLimiter quotas;

	final RequestQuarantine quarantine;

	final PartFingerprintCache partFingerprints = new PartFingerprintCache();

	final WorkerCrashDetector crashDetector = new WorkerCrashDetector(this);

	final WorkerPaths paths = new WorkerPaths(this);

	final WorkerNotices notices = new WorkerNotices(this);

	final OriginTracker origins;

	private final ConfigFreshness configFreshness;

	private ConfigSource configSource = Runnable::run;

	private final Map<String, ReservationQueue> reservationQueues = new HashMap<>();

	private final Map<String, PlainCallQueue> plainCallQueues = new HashMap<>();

	private final Map<String, EngineTimeEstimator> engineTimes = new HashMap<>();

	private @Nullable RouteTable routeTable;

	// In the order of their arrival.
	private final Set<RequestAdmission> openRequests = new LinkedHashSet<>();

	// Volatile: read by the thread that waits for the drain to finish.
	private volatile int inProgress;

	private long refusesFrom = Long.MAX_VALUE;

	private long shutdownAt = Long.MAX_VALUE;

	/**
	 * Creates a gateway without configuration or workers.
	 * @param settings its settings
	 * @param ports its ports to workers, timer, clocks, log and metrics
	 */
	public Gateway(GatewaySettings settings, GatewayPorts ports) {
		this.settings = settings;
		this.workerPort = ports.workers();
		this.timer = ports.timer();
		this.clock = ports.clock();
		this.wallClock = ports.wallClock();
		this.random = ports.random()::getAsDouble;
		this.log = ports.log();
		this.metrics = ports.metrics();
		this.retryBudget = new UpstreamRetryBudget(settings);
		this.retrySlack = new SettledShare(settings.retryWindowMs());
		this.workerAvailability = new WorkerAvailability(this.entryVms, this.random.next());
		this.quotas = new QuotaLimiter(settings.quotas(), this.clock.getAsLong());
		this.quarantine = new RequestQuarantine(this.metrics);
		this.configFreshness = new ConfigFreshness(settings.revokedKeyMs());
		this.origins = new OriginTracker(this.clock);
	}

	/**
	 * Applies a configuration. A version that is not newer than the current one is
	 * ignored: a stale read of the store must not restore a route that callers have seen
	 * removed.
	 * @param next the configuration
	 * @return whether it was applied
	 */
	public boolean configure(RouteTable next) {
		if (this.routeTable != null && next.version() <= this.routeTable.version()) {
			return false;
		}
		if (this.routeTable != null) {
			QuotaChanges.between(this.routeTable.customers(), next.customers())
				.forEach((line) -> Logger.info("[quota] {}", line));
		}
		this.routeTable = next;
		Logger.info("[config] applied version={}", next.version());
		return true;
	}

	/**
	 * Returns the current configuration.
	 * @return the configuration, or empty if none is loaded
	 */
	public Optional<RouteTable> routeTable() {
		return Optional.ofNullable(this.routeTable);
	}

	/**
	 * Returns the workers.
	 * @return the workers; kept up to date by the registry watcher
	 */
	public WorkerDirectory roster() {
		return this.roster;
	}

	/**
	 * Returns what this VM knows of the beginnings of streams.
	 * @return the tracker
	 */
	public OriginTracker origins() {
		return this.origins;
	}

	/**
	 * Returns the entry VMs.
	 * @return the VMs; kept up to date by the registry watcher
	 */
	public EntryVmDirectory entryVms() {
		return this.entryVms;
	}

	/**
	 * Returns the listener for the registration of this VM, on which its share of the
	 * retry slack depends.
	 * @return the listener
	 */
	public RegistrationListener registrationListener() {
		return new RegistrationListener() {

			@Override
			public void onRegistered(long sentAt, long ttlMs) {
				Gateway.this.retrySlack.registered(sentAt + ttlMs, Gateway.this.clock.getAsLong());
			}

			@Override
			public void onRenewed(long sentAt, long ttlMs) {
				Gateway.this.retrySlack.renewed(sentAt + ttlMs);
			}

			@Override
			public void onDeregistered() {
				Gateway.this.retrySlack.deregistered(elapsedMs());
			}

		};
	}

	// The share of the retry slack that this VM may spend now, from 0 to 1.
	double retrySlackShare(long now) {
		return this.retrySlack.update(RetrySlackShare.of(this.entryVms, now), now, elapsedMs());
	}

	// The share of each customer's quota that this VM may spend.
	QuotaShare quotaShare(long now) {
		return QuotaShare.of(this.entryVms.servingCountAllRegions(now), this.entryVms.isStandby(now));
	}

	/**
	 * Returns the requests that crash workers.
	 * @return the quarantine; what other VMs know is merged into it
	 */
	public RequestQuarantine quarantine() {
		return this.quarantine;
	}

	/**
	 * Returns timing statistics of recent requests at the engines of an upstream.
	 * @param upstream the upstream
	 * @return the statistics, updated with each request
	 */
	public EngineTimeEstimator engineTimes(String upstream) {
		return this.engineTimes.computeIfAbsent(upstream, (u) -> new EngineTimeEstimator());
	}

	/**
	 * Starts draining this VM. If it stopped listening at once, callers that still have
	 * its address would find nothing listening, and some have only one try left. It
	 * therefore keeps responding until it shuts down. Requests that may not finish in
	 * time and have not been sent to a worker are refused as not run, those that already
	 * wait included.
	 * @param refuseFrom from when on such requests are refused, on the gateway's clock
	 * @param shutdownAt when the last response must be complete, on the same clock
	 */
	public void drain(long refuseFrom, long shutdownAt) {
		this.refusesFrom = refuseFrom;
		this.shutdownAt = shutdownAt;
		this.timer.schedule(Math.max(0, refuseFrom - this.clock.getAsLong()), this::refuseWaiting);
	}

	private void refuseWaiting() {
		long now = this.clock.getAsLong();
		List.copyOf(this.openRequests).forEach((r) -> r.refuseIfMayOutlastVm(now));
	}

	/**
	 * Returns whether a request is no longer sent to workers, because this VM may end
	 * before it. The time that it may take counts, not the one that it is expected to
	 * take: an upstream that is overloaded takes longer, and the answer would be cut.
	 * @param deadline when the request ends at the latest
	 * @param now the present time in milliseconds
	 * @return {@code true} if it has to be refused, unless it may have run
	 */
	boolean mayOutlastVm(long deadline, long now) {
		return now >= this.refusesFrom && deadline > this.shutdownAt;
	}

	/**
	 * Returns the number of requests in progress.
	 * @return the number of requests
	 */
	public int inProgress() {
		return this.inProgress;
	}

	/**
	 * Handles a request.
	 * @param request the request
	 * @param response the response to the caller
	 * @param arrivedAt when the head of the request can have arrived at the earliest, on
	 * the gateway's clock in milliseconds
	 * @return to be run when the caller disconnects
	 */
	public Runnable handle(RelayRequest request, CallerResponse response, long arrivedAt) {
		long now = this.clock.getAsLong();
		this.metrics.requestRead(now - arrivedAt);
		RequestAdmission admission = new RequestAdmission(this, request, response, arrivedAt);
		this.openRequests.add(admission);
		this.inProgress = this.openRequests.size();
		admission.start(now);
		return admission::callerDisconnected;
	}

	/**
	 * Records a request whose caller had closed its connection before it was read.
	 * Nothing is sent on its behalf.
	 * @param request the request
	 */
	public void callerLeftUnread(RelayRequest request) {
		this.metrics.callerDisconnected();
		this.log.write(this.clock.getAsLong(), () -> "id=" + request.id() + " caller-gone before the request was read");
	}

	void requestFinished(RequestAdmission r) {
		this.openRequests.remove(r);
		this.inProgress = this.openRequests.size();
	}

	/**
	 * Ends all requests in progress, as this VM ends. Those that were not sent to a
	 * worker are refused as not run, answers that have begun are broken off, and the
	 * outcome of the others is reported as unknown.
	 */
	public void endOpenRequests() {
		long now = this.clock.getAsLong();
		List.copyOf(this.openRequests).forEach((r) -> r.end(now));
	}

	/**
	 * Sets the source of new configurations.
	 * @param source queries the operator's store
	 */
	public void setConfigSource(ConfigSource source) {
		this.configSource = source;
	}

	/**
	 * Returns a monotonic time that includes the time during which the machine is
	 * suspended.
	 * @return milliseconds since an arbitrary point in time
	 */
	public long elapsedMs() {
		return this.elapsed.elapsedMs(this.clock.getAsLong(), this.wallClock.getAsLong());
	}

	/**
	 * Returns the present time on the gateway's clock.
	 * @return milliseconds since an arbitrary point in time
	 */
	public long nowMs() {
		return this.clock.getAsLong();
	}

	/**
	 * Starts sampling the clocks, the registrations and the paths to the workers
	 * periodically. A wall clock that is set back between two samples could hide a
	 * suspension, and registrations that come and go between two requests a smaller share
	 * of the retry slack.
	 */
	public void startSampling() {
		long now = this.clock.getAsLong();
		retrySlackShare(now);
		this.quotas.update(quotaShare(now), now);
		this.paths.update(now);
		this.cancelSampling = this.timer.schedule(SAMPLE_MS, this::startSampling);
	}

	/**
	 * Stops the periodic sampling; the clocks are still read when a key is checked.
	 */
	public void stopSampling() {
		this.cancelSampling.run();
	}

	/**
	 * Records that the store confirmed the current configuration as the newest one.
	 * @param requestedAtMs when the confirming request was sent, as in {@link #elapsedMs}
	 */
	public void configConfirmed(long requestedAtMs) {
		this.configFreshness.confirm(requestedAtMs);
	}

	/**
	 * Returns the time since the current configuration was last known to be the newest
	 * one.
	 * @return milliseconds
	 */
	public long configAgeMs() {
		return this.configFreshness.ageMs(elapsedMs());
	}

	void refreshConfig(Runnable then) {
		this.configSource.refresh(then);
	}

	// Refreshes the configuration while callers use keys, before the last confirmation
	// expires.
	void refreshConfigIfStale() {
		if (this.configFreshness.shouldRefresh(elapsedMs())) {
			refreshConfig(() -> {
			});
		}
	}

	ReservationQueue reservationQueue(String upstream) {
		return this.reservationQueues.computeIfAbsent(upstream, (u) -> new ReservationQueue(this, u));
	}

	PlainCallQueue plainCallQueue(String upstream) {
		return this.plainCallQueues.computeIfAbsent(upstream, (u) -> new PlainCallQueue(this, u));
	}

	/**
	 * Applies the load and limit that a worker reported.
	 * @param w the worker
	 * @param status the reported load and limit
	 * @param sentAt when the request was sent whose response carried the report, in
	 * milliseconds
	 */
	void updateWorkerStatus(WorkerState w, WorkerStatus status, long sentAt) {
		long now = this.clock.getAsLong();
		if (status.load() != null) {
			w.recordLoad(status.load(), now);
		}
		if (status.limit() == null) {
			return;
		}
		WorkerRateLimiter.SendCount previous = w.limit().sentSinceChange(now);
		if (w.limit().update(status.limit(), sentAt, now)) {
			this.metrics.limitChanged();
			this.log.write(now,
					() -> "worker=" + w.info().id() + " limit-per-s=" + w.limit().limit() + " previous: " + previous);
		}
	}

	/**
	 * Applies a notice of a worker. A notice that arrives after the worker has restarted
	 * is ignored.
	 * @param worker the worker as it was addressed
	 * @param notice what it stated in its response
	 */
	public void onNotice(WorkerInfo worker, WorkerNotice notice) {
		this.notices.apply(worker, notice);
	}

	void rejectUnservable(String upstream, long now) {
		ReservationQueue queue = this.reservationQueues.get(upstream);
		if (queue != null) {
			queue.rejectUnservable(now);
		}
	}

	// Records that a request, or the prefill of its prompt, is sent to a worker.
	void recordSent(WorkerState w, long now) {
		this.workerAvailability.recordSent(w, now);
		if (w.limit().limit().isLimited()) {
			this.metrics.sentToLimited();
		}
		if (w.hasStatedLeaving()) {
			this.metrics.sentToLeaving();
			this.log.write(now, () -> "sent to a worker that is leaving worker=" + w.info().id());
		}
		if (w.pauseRemainingMs(now) > 0) {
			this.metrics.sentDuringPause();
			this.log.write(now, () -> "sent to a worker that asked for a pause worker=" + w.info().id());
		}
	}

	/**
	 * Returns the network paths of this VM to the workers.
	 * @return chooses the path of each call
	 */
	public PathSelector paths() {
		return this.paths;
	}

	/**
	 * Returns the direct network paths of this VM to the workers.
	 * @return what is known of them
	 */
	public DirectPaths directPaths() {
		return this.paths;
	}

	/**
	 * Returns the worker that another VM wants to reach through this one.
	 * @param id the worker's id
	 * @return the worker; empty if it is not known, or this VM has no direct path to it
	 */
	public Optional<WorkerInfo> tunnelTarget(String id) {
		return this.roster.find(id).filter((w) -> !this.paths.isLost(w)).map(WorkerState::info);
	}

	void onCapacityFreed(String upstream, String worker) {
		ReservationQueue queue = this.reservationQueues.get(upstream);
		if (queue != null) {
			queue.capacityFreed(worker, this.clock.getAsLong());
		}
		PlainCallQueue plainCalls = this.plainCallQueues.get(upstream);
		if (plainCalls != null) {
			plainCalls.dispatch(this.clock.getAsLong());
		}
	}

}
