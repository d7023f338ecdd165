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

	// Until the first configuration has come, which takes a second or so
	// after a start, ms.
	private static final long STARTING_RETRY_MS = 500;

	private static final int NOT_FOUND = 404;

	// The callers of a VM that leaves go to another one, which is there already, ms.
	private static final long ELSEWHERE_MS = 50;

	final GatewaySettings settings;

	final WorkerPort workers;

	final GatewayTimer timer;

	final LongSupplier clock;

	final Placement.Random random;

	final DecisionLog log;

	final RelayMetrics metrics;

	final Roster roster = new Roster();

	final EntryVms vms = new EntryVms();

	final CallerAges ages = new CallerAges();

	final RetryAllowance retries;

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
		this.random = ports.random()::getAsDouble;
		this.log = ports.log();
		this.metrics = ports.metrics();
		this.retries = new RetryAllowance(settings);
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

	private boolean tooLate(Route route, RelayRequest r, long now) {
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
		long now = this.clock.getAsLong();
		RouteTable t = this.table;
		if (t == null) {
			refuse(request, answer, RelayRefusal.notRun(RefusalReason.NO_CONFIGURATION, STARTING_RETRY_MS), now);
			return () -> {
			};
		}
		Optional<Route> r = t.find(request.host(), request.path());
		if (r.isEmpty()) {
			refuse(request, answer, new RelayRefusal(NOT_FOUND, RefusalReason.NO_ROUTE, 0), now);
			return () -> {
			};
		}
		if (tooLate(r.get(), request, now)) {
			refuse(request, answer, RelayRefusal.notRun(RefusalReason.LEAVING, ELSEWHERE_MS), now);
			return () -> {
			};
		}
		this.metrics.arrived(r.get().name());
		this.inProgress++;
		RelayTask task = new RelayTask(this, t, r.get(), request, answer, now);
		task.start(now);
		return task::callerGone;
	}

	void ended() {
		this.inProgress--;
	}

	private void refuse(RelayRequest r, CallerAnswer a, RelayRefusal refusal, long now) {
		long version = (this.table != null) ? this.table.version() : 0;
		this.metrics.refused(refusal.code());
		this.log.write(now, () -> "id=" + r.id() + " refused status=" + refusal.status() + " reason="
				+ refusal.code().code() + " config=" + version);
		a.refuse(refusal);
	}

	HoldQueue holdQueue(String upstream) {
		return this.holdQueues.computeIfAbsent(upstream, (u) -> new HoldQueue(this, u));
	}

	void freed(String upstream, String worker) {
		HoldQueue q = this.holdQueues.get(upstream);
		if (q != null) {
			q.freed(worker, this.clock.getAsLong());
		}
	}

}
