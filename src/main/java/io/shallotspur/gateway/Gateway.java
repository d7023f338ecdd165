package io.shallotspur.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

import io.shallotspur.route.Route;
import io.shallotspur.route.RouteTable;

/**
 * Relays callers' requests to workers. Not thread-safe: everything is called on one
 * thread, and the ports call back on it.
 * <p>
 * Invariants: the configuration never goes back to an older version; each request is
 * answered, refused or broken off exactly once.
 */
public final class Gateway {

	private static final long CLOCK_SAMPLE_MS = 250;

	final GatewaySettings settings;

	final WorkerPort workerPort;

	final GatewayTimer timer;

	final LongSupplier clock;

	private final LongSupplier wallClock;

	private final SuspendAwareClock elapsed = new SuspendAwareClock();

	private Runnable cancelClockSampling = () -> {
	};

	final WorkerSelector.RandomSource random;

	final DecisionLog log;

	final RelayMetrics metrics;

	final WorkerDirectory roster = new WorkerDirectory();

	final EntryVmDirectory entryVms = new EntryVmDirectory();

	final RequestAgeEstimator requestAges = new RequestAgeEstimator();

	final UpstreamRetryBudget retryBudget;

	final RateLimitEnforcer workerLimits;

	final QuotaLimiter quotas;

	private final ConfigFreshness configFreshness;

	private ConfigSource configSource = Runnable::run;

	private final Map<String, ReservationQueue> reservationQueues = new HashMap<>();

	private final Map<String, EngineTimeEstimator> engineTimes = new HashMap<>();

	private @Nullable RouteTable routeTable;

	// Read by the thread that waits for the end.
	private volatile int inProgress;

	private long refusesFrom = Long.MAX_VALUE;

	private long shutdownAt = Long.MAX_VALUE;

	/**
	 * Creates a gateway that knows no configuration and no workers.
	 * @param settings its settings
	 * @param ports what it uses
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
		this.workerLimits = new RateLimitEnforcer(this.entryVms, this.random.next());
		this.quotas = new QuotaLimiter(settings.quotas(), this.clock.getAsLong());
		this.configFreshness = new ConfigFreshness(settings.revokedKeyMs());
	}

	/**
	 * Takes a configuration. One that is not newer than the one in force is left aside: a
	 * stale read of the store must not bring back a route that callers have seen gone.
	 * @param next the configuration
	 * @return whether it is in force now
	 */
	public boolean configure(RouteTable next) {
		if (this.routeTable != null && next.version() <= this.routeTable.version()) {
			return false;
		}
		this.routeTable = next;
		Logger.info("[config] in force version={}", next.version());
		return true;
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or empty if none is known
	 */
	public Optional<RouteTable> routeTable() {
		return Optional.ofNullable(this.routeTable);
	}

	/**
	 * Returns the workers.
	 * @return the workers, to be kept up to date by whoever reads the registry
	 */
	public WorkerDirectory roster() {
		return this.roster;
	}

	/**
	 * Returns the entry VMs.
	 * @return the VMs, to be kept up to date by whoever reads the registry
	 */
	public EntryVmDirectory entryVms() {
		return this.entryVms;
	}

	/**
	 * Returns what the latest requests took at the engines of an upstream.
	 * @param upstream the upstream
	 * @return the figures, kept up to date
	 */
	public EngineTimeEstimator engineTimes(String upstream) {
		return this.engineTimes.computeIfAbsent(upstream, (u) -> new EngineTimeEstimator());
	}

	/**
	 * Says that this VM ends. Callers who still have its address would find nobody, and
	 * some have but one try left, so it answers to the end: what cannot be answered in
	 * time is refused as not run.
	 * @param refuseFrom from when on requests are refused that would take too long, on
	 * the clock of the gateway
	 * @param shutdownAt when the last answer has to be whole, on the same clock
	 */
	public void drain(long refuseFrom, long shutdownAt) {
		this.refusesFrom = refuseFrom;
		this.shutdownAt = shutdownAt;
	}

	boolean exceedsShutdown(Route route, RelayRequest r, long now) {
		if (now < this.refusesFrom) {
			return false;
		}
		long most = Math.min(r.callerTimeoutMs(), route.timeoutMs());
		PromptInfo p = r.prompt();
		if (p != null) {
			long answer = engineTimes(route.chooseUpstream(0)).generationMs(p.expectedOutputTokens());
			most = Math.min(most, route.latencyTargetMs() + (long) (RetryAfter.ANSWER_MARGIN * answer));
		}
		return now + most > this.shutdownAt;
	}

	/**
	 * Returns how many requests are in progress.
	 * @return the number of requests
	 */
	public int inProgress() {
		return this.inProgress;
	}

	/**
	 * Takes a request.
	 * @param request the request
	 * @param answer the way back to its caller
	 * @return to be run when the caller has left
	 */
	public Runnable handle(RelayRequest request, CallerResponse answer) {
		this.inProgress++;
		RequestAdmission a = new RequestAdmission(this, request, answer, this.clock.getAsLong());
		a.start();
		return a::callerDisconnected;
	}

	void requestFinished() {
		this.inProgress--;
	}

	/**
	 * Says whom to ask for the newest configuration.
	 * @param source asks the operator's store
	 */
	public void setConfigSource(ConfigSource source) {
		this.configSource = source;
	}

	/**
	 * Returns a time that goes on while the machine is suspended.
	 * @return milliseconds since some moment
	 */
	public long elapsedMs() {
		return this.elapsed.elapsedMs(this.clock.getAsLong(), this.wallClock.getAsLong());
	}

	/**
	 * Reads the clocks from now on. Between two readings a time of day that is set back
	 * could hide a suspension.
	 */
	public void startClockSampling() {
		elapsedMs();
		this.cancelClockSampling = this.timer.schedule(CLOCK_SAMPLE_MS, this::startClockSampling);
	}

	/**
	 * Reads the clocks no more, except when a key is proved.
	 */
	public void stopClockSampling() {
		this.cancelClockSampling.run();
	}

	/**
	 * Takes that the configuration in force was the newest one.
	 * @param requestedAtMs when the question was sent that showed so, by
	 * {@link #elapsedMs}
	 */
	public void configConfirmed(long requestedAtMs) {
		this.configFreshness.confirm(requestedAtMs);
	}

	/**
	 * Returns how long ago the configuration in force surely was the newest one.
	 * @return milliseconds
	 */
	public long configAgeMs() {
		return this.configFreshness.ageMs(elapsedMs());
	}

	void refreshConfig(Runnable then) {
		this.configSource.refresh(then);
	}

	// Callers come with keys: what proves them is renewed before it is too old.
	void refreshConfigIfStale() {
		if (this.configFreshness.shouldRefresh(elapsedMs())) {
			refreshConfig(() -> {
			});
		}
	}

	ReservationQueue reservationQueue(String upstream) {
		return this.reservationQueues.computeIfAbsent(upstream, (u) -> new ReservationQueue(this, u));
	}

	/**
	 * Takes what a worker says of itself.
	 * @param w the worker
	 * @param news the news
	 * @param sentAt when the request was sent whose answer says so, in milliseconds
	 */
	void updateWorkerStatus(WorkerState w, WorkerStatus news, long sentAt) {
		long now = this.clock.getAsLong();
		if (news.load() != null) {
			w.recordLoad(news.load(), now);
		}
		if (news.limit() == null) {
			return;
		}
		WorkerRateLimiter.SendCount before = w.limit().sentSinceChange(now);
		if (w.limit().update(news.limit(), sentAt, now)) {
			this.metrics.limitChanged();
			this.log.write(now,
					() -> "worker=" + w.info().id() + " limit-per-s=" + w.limit().limit() + " before: " + before);
		}
	}

	// A caller's request, or the prefill of its prompt, goes to a worker.
	void recordSent(WorkerState w, long now) {
		this.workerLimits.recordSent(w, now);
		if (w.limit().limit().isLimited()) {
			this.metrics.sentToLimited();
		}
	}

	void onCapacityFreed(String upstream, String worker) {
		ReservationQueue q = this.reservationQueues.get(upstream);
		if (q != null) {
			q.capacityFreed(worker, this.clock.getAsLong());
		}
	}

}
