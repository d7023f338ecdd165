package io.shallotspur.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import io.shallotspur.route.EngineSpec;
import io.shallotspur.route.Route;
import io.shallotspur.route.UpstreamSpec;

/**
 * Finds the worker of each attempt of one request, and what it takes to run there: for a
 * plain call a worker, for a model request a reserved place at a decode worker and, if it
 * is the shorter way, the KV cache from a prefill worker. Not thread-safe; confined to
 * the gateway's thread.
 * <p>
 * Invariants: a reservation or KV cache that was got and not handed on is given back;
 * {@link Sink} is told once for each {@link #start}, unless {@link #cancel} comes first.
 */
final class Placing implements HoldQueue.Waiting {

	// A late answer is still worth something to the caller, but one who has waited for
	// twice its objective while others go first is told at once to come back after the
	// burst, and not when it is about to leave: callers leave after four objectives.
	private static final double WAIT_OBJECTIVES = 2;

	// A prefill takes some 100 ms; one without an answer in several times that is at a
	// worker that is cut off, ms.
	private static final long LEAST_PREFILL_MS = 400;

	// A call that is sent this long before its reservation ends arrives in time, ms.
	private static final long HOLD_MARGIN_MS = 50;

	// The part of a reservation that a prefill may use up; the rest is for the call that
	// follows it.
	private static final double HOLD_SHARE = 0.6;

	// Of the time to the first event the rest is left for a decode worker that has to
	// prefill by itself after all.
	private static final double PREFILL_SHARE = 0.6;

	// The part of the time to its latest start that a request waits at most for a limit.
	// While more come than the limits let through, all who are let through wait so long,
	// and their answers must not be late for the next small delay.
	private static final double LIMIT_PATIENCE = 0.5;

	private static final int MAX_PRIORITY = 9;

	private final Gateway g;

	private final AdmittedRequest admitted;

	private final Route route;

	private final RelayRequest request;

	private final String upstream;

	private final @Nullable EngineSpec engine;

	private final Candidates candidates;

	private final Sink sink;

	private final long arrivedAt;

	private final long answerBy;

	private final long askedAt;

	private final Set<String> tried = new HashSet<>();

	private HoldQueue.@Nullable Ticket ticket;

	private @Nullable PrefillStep prefill;

	private final Set<String> prefillsTried = new HashSet<>();

	private boolean prefilled;

	private @Nullable WorkerState target;

	private @Nullable String hold;

	private @Nullable RateLimitWait limitWait;

	private @Nullable KvSource source;

	private long readAt;

	private long heldAt;

	private long waitsSince;

	Placing(Gateway g, AdmittedRequest admitted, String upstream, @Nullable UpstreamSpec spec, Sink sink, long arrivedAt,
			long answerBy) {
		this.g = g;
		this.admitted = admitted;
		this.route = admitted.route();
		this.request = admitted.request();
		this.upstream = upstream;
		this.engine = (spec != null) ? spec.engine() : null;
		this.candidates = new Candidates(g, upstream, (spec != null) ? spec.connectionLimit() : Integer.MAX_VALUE);
		this.sink = sink;
		this.arrivedAt = arrivedAt;
		this.answerBy = answerBy;
		this.askedAt = arrivedAt - g.requestAges.ageMs(this.route.name(), this.request.callerTimeoutMs());
	}

	void start(long now) {
		// A caller whose answer broke off after some seconds waits for its next event
		// as long as for its first. Counted from its arrival its patience would be over,
		// and an answer that could go on elsewhere would end.
		this.waitsSince = now;
		EngineSpec e = this.engine;
		boolean reserves = e != null && e.holdMs() > 0 && this.request.prompt() != null;
		Optional<WorkerState> first = this.candidates.firstWithRoom(stage(), this.tried, now);
		long limitWait = first.map((w) -> this.g.workerLimits.waitMs(w, now)).orElse(0L);
		if (first.isEmpty()) {
			this.sink.nowhere(RefusalReason.NO_WORKER, now);
		}
		else if (limitWait > 0 && limitWait > (reserves ? waitUntil() - now : limitPatienceMs(now))) {
			this.sink.nowhere(RefusalReason.WORKERS_LIMITED, now);
		}
		else if (reserves) {
			HoldQueue.Ticket t = this.g.reservationQueue(this.upstream).enter(this, now);
			this.ticket = t.isOver() ? null : t;
		}
		else if (limitWait > 0) {
			waitForLimit(first.get(), now);
		}
		else {
			Placement.cheapest(candidates(now), this.g.settings.hall(), this.g.random, now)
				.ifPresentOrElse((w) -> prefillOrGo(w, now), () -> this.sink.nowhere(RefusalReason.WORKERS_FULL, now));
		}
	}

	/**
	 * Returns how long it takes until a worker may be sent another request.
	 * @param now the present time in milliseconds
	 * @return milliseconds; 0 if one names no limit or has room, {@link Long#MAX_VALUE}
	 * if that is not known
	 */
	long limitWaitMs(long now) {
		return this.candidates.firstWithRoom(stage(), this.tried, now)
			.map((w) -> this.g.workerLimits.waitMs(w, now))
			.orElse(0L);
	}

	private long limitPatienceMs(long now) {
		return (long) (LIMIT_PATIENCE * Math.max(0, latestStart() - now));
	}

	private void waitForLimit(WorkerState w, long now) {
		this.g.metrics.waitedForLimit();
		this.limitWait = new RateLimitWait(this.g, w, new RateLimitWait.Listener() {

			@Override
			public long waitDeadline() {
				return Placing.this.waitUntil();
			}

			@Override
			public void onReady(WorkerState worker, long at) {
				Placing.this.limitWait = null;
				Placing.this.heldAt = at;
				prefillOrGo(worker, at);
			}

			@Override
			public void onWorkerGone(long at) {
				Placing.this.limitWait = null;
				start(at);
			}

			@Override
			public void onTooLate(long at) {
				Placing.this.limitWait = null;
				Placing.this.sink.nowhere(RefusalReason.WORKERS_LIMITED, at);
			}

		});
		this.limitWait.start(now);
	}

	/**
	 * Returns when the newest reservation was got.
	 * @return the time in milliseconds, or 0 if there was none
	 */
	long heldAt() {
		return this.heldAt;
	}

	boolean anyLeft(long now) {
		return !candidates(now).isEmpty();
	}

	@Override
	public List<WorkerState> candidates(long now) {
		return this.candidates.admitting(stage(), this.tried, now);
	}

	/**
	 * Returns what a worker has to do to run the request.
	 * @return the stage
	 */
	WorkerStage stage() {
		return (this.engine != null) ? WorkerStage.DECODE : WorkerStage.PLAIN;
	}

	@Override
	public int tokens() {
		PromptShape p = this.request.prompt();
		return (p != null) ? this.g.engineTimes(this.upstream).reservedTokens(p, this.sink.received()) : 0;
	}

	@Override
	public int priority() {
		return Math.min(MAX_PRIORITY, this.admitted.priority());
	}

	@Override
	public long latestStart() {
		return this.askedAt + this.route.targetMs() - this.g.engineTimes(this.upstream).leadMs();
	}

	@Override
	public long waitUntil() {
		long patience = this.waitsSince + (long) (WAIT_OBJECTIVES * this.route.targetMs());
		return Math.min(this.answerBy - answerMs(), patience);
	}

	/**
	 * Returns how long the rest of the answer will likely take once it goes on. A request
	 * that is placed with less time than that left holds memory for seconds, and its
	 * caller's deadline passes in the middle of its answer.
	 * @return milliseconds; 0 if the request does not say how long it is
	 */
	long answerMs() {
		PromptShape p = this.request.prompt();
		return (p != null)
				? this.g.engineTimes(this.upstream).answerMs(Math.max(0, p.likelyOutputTokens() - this.sink.received())) : 0;
	}

	@Override
	public long holdMs() {
		return (this.engine != null) ? this.engine.holdMs() : 0;
	}

	@Override
	public void admitted(WorkerState worker, String reservation, long now) {
		this.ticket = null;
		this.hold = reservation;
		this.heldAt = now;
		prefillOrGo(worker, now);
	}

	@Override
	public void turnedAway(long now) {
		this.ticket = null;
		this.sink.nowhere(RefusalReason.WORKERS_FULL, now);
	}

	private void prefillOrGo(WorkerState w, long now) {
		this.target = w;
		PromptShape prompt = this.request.prompt();
		if (this.engine == null || prompt == null || this.prefilled) {
			go(now);
			return;
		}
		if (this.hold != null && !holds(w, now)) {
			placeAgain(now);
			return;
		}
		prefillOrGo(prompt, false, now);
	}

	private void prefillOrGo(PromptShape prompt, boolean again, long now) {
		List<WorkerState> l = this.candidates.admitting(WorkerStage.PREFILL, this.prefillsTried, now);
		Optional<WorkerState> p = PrefillChoice.choose(prompt, l, this.target, stalls(prompt), this.g.settings.hall(),
				this.g.random, now);
		if (p.isEmpty() || (again && !this.sink.mayPrefillAgain(now))) {
			go(now);
			return;
		}
		this.prefilled = true;
		this.prefillsTried.add(p.get().info().id());
		this.prefill = new PrefillStep(this.g, p.get(), prompt, this::prefillEnded);
		this.prefill.start(new WorkerCall(this.request, p.get().info(), Math.max(1, this.answerBy - now), priority(),
				this.sink.lastEventId(), null, null, this.admitted.customerName()), prefillLimit());
	}

	private boolean stalls(PromptShape prompt) {
		return this.engine != null && this.g.engineTimes(this.upstream)
			.known()
			.filter((f) -> f.stalls(prompt.promptTokens(), this.engine.eventTokens(), this.route.gapMs()))
			.isPresent();
	}

	// As long as prefills take lately; the reservation must outlast it.
	private long prefillLimit() {
		long dflt = Math.max(LEAST_PREFILL_MS, (long) (this.route.targetMs() * PREFILL_SHARE));
		long most = Math.max(dflt, (long) (HOLD_SHARE * holdMs()));
		long expected = this.g.engineTimes(this.upstream).prefillLimitMs();
		return (expected > 0) ? Math.min(most, Math.max(LEAST_PREFILL_MS, expected)) : dflt;
	}

	private void prefillEnded(PrefillStep.Result r) {
		long now = this.g.clock.getAsLong();
		this.prefill = null;
		this.source = r.source();
		this.readAt = now;
		if (r.failure() != null) {
			this.sink.note("prefill failed seen=\"" + r.failure() + "\" refused=" + r.refused(), now);
		}
		PromptShape prompt = this.request.prompt();
		if (r.refused() && !this.sink.mayGoOnAfterPrefill(now)) {
			cancel();
			this.sink.nowhere(RefusalReason.WORKERS_FULL, now);
		}
		else if (r.source() == null && !r.refused() && prompt != null && stalls(prompt)) {
			prefillOrGo(prompt, true, now);
		}
		else {
			go(now);
		}
	}

	private void go(long now) {
		WorkerState w = this.target;
		if (w == null) {
			return;
		}
		if (this.source != null && !fresh(this.source, now)) {
			this.g.workerPort.releaseKvCache(this.source);
			this.source = null;
		}
		if (this.hold != null && !holds(w, now)) {
			placeAgain(now);
			return;
		}
		if (this.hold != null) {
			w.limit().releaseReservation();
		}
		this.tried.add(w.info().id());
		WorkerCall call = new WorkerCall(this.request, w.info(), Math.max(1, this.answerBy - now), priority(), null,
				this.source, this.hold, this.admitted.customerName());
		this.target = null;
		this.source = null;
		this.hold = null;
		this.sink.ready(w, call, now);
	}

	// A place is lost when its worker starts again while the prompt is read elsewhere, or
	// when that takes too long. Sent all the same, the request would be let in without
	// memory of its own, and a running one be dropped for it. It is of no use either at a
	// worker that leaves: the request would come late, and its answer break off.
	private boolean holds(WorkerState w, long now) {
		return w.stays(now) && this.g.roster.lives(w.info()) && now < this.heldAt + holdMs() - HOLD_MARGIN_MS;
	}

	private boolean fresh(KvSource s, long now) {
		long ttl = (this.engine != null) ? this.engine.handleTtlMs() : 0;
		return this.g.roster.lives(s.worker()) && (ttl <= 0 || now - this.readAt < ttl);
	}

	// What was read stays of use for a fraction of a second.
	private void placeAgain(long now) {
		KvSource read = this.source;
		this.source = null;
		cancel();
		this.source = read;
		start(now);
	}

	/**
	 * Gives up what is under way and gives back what was got.
	 */
	void cancel() {
		if (this.ticket != null) {
			this.g.reservationQueue(this.upstream).leave(this.ticket);
			this.ticket = null;
		}
		if (this.prefill != null) {
			this.prefill.cancel();
			this.prefill = null;
		}
		if (this.source != null) {
			this.g.workerPort.releaseKvCache(this.source);
			this.source = null;
		}
		if (this.limitWait != null) {
			this.limitWait.cancel();
			this.limitWait = null;
		}
		if (this.hold != null && this.target != null) {
			this.target.limit().releaseReservation();
			this.g.workerPort.cancelReservation(this.target.info(), this.hold);
			this.hold = null;
		}
		this.target = null;
	}

	/**
	 * Hears where the request goes.
	 */
	interface Sink {

		// Send the call.
		void ready(WorkerState worker, WorkerCall call, long now);

		// No worker takes it.
		void nowhere(RefusalReason reason, long now);

		// A prefill was refused, which counts as an attempt: is another allowed?
		boolean mayGoOnAfterPrefill(long now);

		// Only the first prefill that a worker takes is free of the attempts and of the
		// budget. May another one be spent, and the request be run after it?
		boolean mayPrefillAgain(long now);

		// Tokens of the answer that the caller has, as far as that is known.
		int received();

		// The event after which the answer is to go on, if the caller has its beginning.
		@Nullable String lastEventId();

		// Something for the log.
		void note(String what, long now);

	}

}
