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

	private static final long CLOCK_READING_MS = 250;

	final GatewaySettings settings;

	final WorkerPort workers;

	final GatewayTimer timer;

	final LongSupplier clock;

	private final LongSupplier wallClock;

	private final ElapsedTime elapsed = new ElapsedTime();

	private Runnable cancelClockReading = () -> {
	};

	final Placement.Random random;

	final DecisionLog log;

	final RelayMetrics metrics;

	final Roster roster = new Roster();

	final EntryVms vms = new EntryVms();

	final CallerAges ages = new CallerAges();

	final RetryAllowance retries;

	final WorkerLimits limits;

	final QuotaBook quotas;

	private final ConfigProof proof;

	private ConfigSource configSource = Runnable::run;

	private final Map<String, HoldQueue> holdQueues = new HashMap<>();

	private final Map<String, EngineTimes> times = new HashMap<>();

	private @Nullable RouteTable table;

	// Read by the thread that waits for the end.
	private volatile int inProgress;

	private long refusesFrom = Long.MAX_VALUE;

	private long endsAt = Long.MAX_VALUE;

	/**
	 * Creates a gateway that knows no configuration and no workers.
	 * @param settings its settings
	 * @param ports what it uses
	 */
	public Gateway(GatewaySettings settings, GatewayPorts ports) {
		this.settings = settings;
		this.workers = ports.workers();
		this.timer = ports.timer();
		this.clock = ports.clock();
		this.wallClock = ports.wallClock();
		this.random = ports.random()::getAsDouble;
		this.log = ports.log();
		this.metrics = ports.metrics();
		this.retries = new RetryAllowance(settings);
		this.limits = new WorkerLimits(this.vms, this.random.next());
		this.quotas = new QuotaBook(settings.quotas(), this.clock.getAsLong());
		this.proof = new ConfigProof(settings.revokedKeyMs());
	}

	/**
	 * Takes a configuration. One that is not newer than the one in force is left aside: a
	 * stale read of the store must not bring back a route that callers have seen gone.
	 * @param next the configuration
	 * @return whether it is in force now
	 */
	public boolean configure(RouteTable next) {
		if (this.table != null && next.version() <= this.table.version()) {
			return false;
		}
		this.table = next;
		Logger.info("[config] in force version={}", next.version());
		return true;
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or empty if none is known
	 */
	public Optional<RouteTable> table() {
		return Optional.ofNullable(this.table);
	}

	/**
	 * Returns the workers.
	 * @return the workers, to be kept up to date by whoever reads the registry
	 */
	public Roster roster() {
		return this.roster;
	}

	/**
	 * Returns the entry VMs.
	 * @return the VMs, to be kept up to date by whoever reads the registry
	 */
	public EntryVms vms() {
		return this.vms;
	}

	/**
	 * Returns what the latest requests took at the engines of an upstream.
	 * @param upstream the upstream
	 * @return the figures, kept up to date
	 */
	public EngineTimes times(String upstream) {
		return this.times.computeIfAbsent(upstream, (u) -> new EngineTimes());
	}

	/**
	 * Says that this VM ends. Callers who still have its address would find nobody, and
	 * some have but one try left, so it answers to the end: what cannot be answered in
	 * time is refused as not run.
	 * @param late from when on requests are refused that would take too long, on the
	 * clock of the gateway
	 * @param end when the last answer has to be whole, on the same clock
	 */
	public void leave(long late, long end) {
		this.refusesFrom = late;
		this.endsAt = end;
	}

	boolean tooLate(Route route, RelayRequest r, long now) {
		if (now < this.refusesFrom) {
			return false;
		}
		long most = Math.min(r.waitMs(), route.timeoutMs());
		PromptShape p = r.prompt();
		if (p != null) {
			long answer = times(route.chooseUpstream(0)).answerMs(p.likelyOutputTokens());
			most = Math.min(most, route.targetMs() + (long) (RetryAdvice.ANSWER_MARGIN * answer));
		}
		return now + most > this.endsAt;
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
	public Runnable handle(RelayRequest request, CallerAnswer answer) {
		this.inProgress++;
		Arrival a = new Arrival(this, request, answer, this.clock.getAsLong());
		a.start();
		return a::callerGone;
	}

	void ended() {
		this.inProgress--;
	}

	/**
	 * Says whom to ask for the newest configuration.
	 * @param source asks the operator's store
	 */
	public void configSource(ConfigSource source) {
		this.configSource = source;
	}

	/**
	 * Returns a time that goes on while the machine is suspended.
	 * @return milliseconds since some moment
	 */
	public long elapsedMs() {
		return this.elapsed.at(this.clock.getAsLong(), this.wallClock.getAsLong());
	}

	/**
	 * Reads the clocks from now on. Between two readings a time of day that is set back
	 * could hide a suspension.
	 */
	public void watchClocks() {
		elapsedMs();
		this.cancelClockReading = this.timer.after(CLOCK_READING_MS, this::watchClocks);
	}

	/**
	 * Reads the clocks no more, except when a key is proved.
	 */
	public void unwatchClocks() {
		this.cancelClockReading.run();
	}

	/**
	 * Takes that the configuration in force was the newest one.
	 * @param askedMs when the question was sent that showed so, by {@link #elapsedMs}
	 */
	public void proved(long askedMs) {
		this.proof.proved(askedMs);
	}

	/**
	 * Returns how long ago the configuration in force surely was the newest one.
	 * @return milliseconds
	 */
	public long proofAgeMs() {
		return this.proof.ageMs(elapsedMs());
	}

	void askForProof(Runnable then) {
		this.configSource.ask(then);
	}

	// Callers come with keys: what proves them is renewed before it is too old.
	void keyUsed() {
		if (this.proof.worthRenewing(elapsedMs())) {
			askForProof(() -> {
			});
		}
	}

	HoldQueue holdQueue(String upstream) {
		return this.holdQueues.computeIfAbsent(upstream, (u) -> new HoldQueue(this, u));
	}

	/**
	 * Takes what a worker says of itself.
	 * @param w the worker
	 * @param news the news
	 * @param sentAt when the request was sent whose answer says so, in milliseconds
	 */
	void told(WorkerState w, WorkerNews news, long sentAt) {
		long now = this.clock.getAsLong();
		if (news.load() != null) {
			w.reported(news.load(), now);
		}
		if (news.limit() == null) {
			return;
		}
		NamedLimit.Sent before = w.limit().sentSince(now);
		if (w.limit().told(news.limit(), sentAt, now)) {
			this.metrics.limitNamed();
			this.log.write(now,
					() -> "worker=" + w.info().id() + " limit-per-s=" + w.limit().limit() + " before: " + before);
		}
	}

	// A caller's request, or the prefill of its prompt, goes to a worker.
	void sent(WorkerState w, long now) {
		this.limits.sent(w, now);
		if (w.limit().limit().named()) {
			this.metrics.sentToLimited();
		}
	}

	void freed(String upstream, String worker) {
		HoldQueue q = this.holdQueues.get(upstream);
		if (q != null) {
			q.freed(worker, this.clock.getAsLong());
		}
	}

}
