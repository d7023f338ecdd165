package io.shallotspur.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import io.shallotspur.route.EngineSpec;
import io.shallotspur.route.Route;
import io.shallotspur.route.RouteKind;
import io.shallotspur.route.UpstreamSpec;

/**
 * Selects the worker for each attempt of one request and acquires what the attempt needs:
 * for a plain call a worker, for a model request a reservation at a decode worker and, if
 * it is faster, the KV cache from a prefill worker. Not thread-safe; confined to the
 * gateway's thread.
 * <p>
 * Invariants: a reservation or KV cache that was acquired and not passed on is released;
 * {@link Callback} receives exactly one result for each {@link #start}, unless
 * {@link #cancel} comes first.
 */
final class RequestPlacement implements PlainCall, PromptPrefill.Owner {

	// A call that is sent this long before its reservation expires arrives in time, ms.
	private static final long RESERVATION_MARGIN_MS = 50;

	/**
	 * With less time left no worker can respond, ms: the fastest response takes two
	 * network crossings and a few ms of work.
	 */
	static final long MIN_ATTEMPT_MS = 10;

	private static final int MAX_PRIORITY = 9;

	private final Gateway gateway;

	private final AdmittedRequest admitted;

	private final Route route;

	private final LazyIdentity identity;

	private final RelayRequest request;

	private final String upstream;

	private final @Nullable EngineSpec engine;

	private final Candidates candidates;

	private final Callback callback;

	private final @Nullable PromptPrefill prefill;

	private final long deadline;

	private final RequestTiming timing;

	private final Set<String> triedWorkers = new HashSet<>();

	private @Nullable ReservationTicket ticket;

	private @Nullable WorkerState target;

	private @Nullable String reservation;

	private @Nullable RateLimitWait limitWait;

	private long reservedAt;

	private long expectedQueueMs;

	RequestPlacement(Gateway gateway, AdmittedRequest admitted, LazyIdentity identity, String upstream,
			@Nullable UpstreamSpec upstreamSpec, Callback callback, long arrivedAt, long deadline) {
		this.gateway = gateway;
		this.admitted = admitted;
		this.route = admitted.route();
		this.identity = identity;
		this.request = admitted.request();
		this.upstream = upstream;
		this.engine = (upstreamSpec != null) ? upstreamSpec.engine() : null;
		this.candidates = new Candidates(gateway, upstream,
				(upstreamSpec != null) ? upstreamSpec.connectionLimit() : Integer.MAX_VALUE);
		if (this.route.kind() == RouteKind.STREAM && this.route.resumable()) {
			this.candidates.requireAnnouncedVersion();
		}
		this.callback = callback;
		this.deadline = deadline;
		PromptInfo prompt = this.request.prompt();
		this.prefill = (this.engine != null && prompt != null)
				? new PromptPrefill(gateway, admitted, prompt, identity, upstream, this.engine, this.candidates, this)
				: null;
		this.timing = new RequestTiming(gateway, admitted, upstream, callback::receivedTokens, arrivedAt, deadline);
	}

	void start(long now) {
		this.timing.waitStarted(now);
		if (refuseIfTooLate(now) || refuseIfLeaving(now) || refuseIfQuarantined(now)) {
			return;
		}
		EngineSpec engineSpec = this.engine;
		boolean reserves = engineSpec != null && engineSpec.maxReservationMs() > 0 && this.request.prompt() != null;
		Optional<WorkerState> first = this.candidates.soonestAvailable(stage(), this.triedWorkers, now);
		long limitWait = first.map((w) -> this.gateway.workerAvailability.waitMs(w, now)).orElse(0L);
		if (first.isEmpty()) {
			this.callback.onRefused(noWorker(), now);
		}
		else if (hasNoPath(now)) {
			this.callback.onRefused(RefusalReason.WORKERS_UNREACHABLE, now);
		}
		else if (limitWait > 0 && limitWait > (reserves ? waitDeadline() - now : this.timing.maxLimitWaitMs(now))) {
			this.callback.onRefused(RefusalReason.WORKERS_LIMITED, now);
		}
		else if (reserves) {
			ReservationTicket newTicket = this.gateway.reservationQueue(this.upstream).enqueue(this, now);
			this.ticket = newTicket.isClosed() ? null : newTicket;
		}
		else if (limitWait > 0) {
			waitForLimit(first.get(), now);
		}
		else {
			this.gateway.plainCallQueue(this.upstream).submit(this, now);
		}
	}

	/**
	 * Returns how long it takes until a worker may be sent a new request of the caller.
	 * @param now the present time in milliseconds
	 * @return milliseconds; 0 if a worker may be sent one now or there is none,
	 * {@link Long#MAX_VALUE} if the time is not known
	 */
	long retryWaitMs(long now) {
		return sendWaitMs(Set.of(), now).orElse(0);
	}

	@Override
	public long sendWaitMs(long now) {
		return sendWaitMs(this.triedWorkers, now).orElse(Long.MAX_VALUE);
	}

	// Empty if there is no worker.
	private OptionalLong sendWaitMs(Set<String> excluded, long now) {
		return this.candidates.soonestAvailable(stage(), excluded, now)
			.map((w) -> OptionalLong.of(this.gateway.workerAvailability.waitMs(w, now)))
			.orElse(OptionalLong.empty());
	}

	private void waitForLimit(WorkerState w, long now) {
		this.gateway.metrics.waitedForLimit();
		this.limitWait = new RateLimitWait(this.gateway, w, new RateLimitWait.Listener() {

			@Override
			public long waitDeadline() {
				return RequestPlacement.this.waitDeadline();
			}

			@Override
			public void onReady(WorkerState worker, long at) {
				RequestPlacement.this.limitWait = null;
				RequestPlacement.this.reservedAt = at;
				prefillOrSend(worker, at);
			}

			@Override
			public void onWorkerUnavailable(long at) {
				RequestPlacement.this.limitWait = null;
				start(at);
			}

			@Override
			public void onTooLate(long at) {
				RequestPlacement.this.limitWait = null;
				RequestPlacement.this.callback.onRefused(RefusalReason.WORKERS_LIMITED, at);
			}

		});
		this.limitWait.start(now);
	}

	/**
	 * Returns when the latest reservation was acquired or the latest wait for a rate
	 * limit ended, whichever is later.
	 * @return the time in milliseconds, or 0 if there was neither
	 */
	long reservedAt() {
		return this.reservedAt;
	}

	/**
	 * Allows another attempt at a worker that has not received the request.
	 * @param worker the worker
	 */
	void allowAgain(WorkerState worker) {
		this.triedWorkers.remove(worker.info().id());
	}

	/**
	 * Places all further attempts at workers of one version only.
	 * @param version the version of the workers' software
	 */
	void requireVersion(String version) {
		this.candidates.requireVersion(version);
	}

	// Whether nothing was sent to a worker on behalf of the request, not even its prompt.
	boolean hasSentNothing() {
		return this.triedWorkers.isEmpty() && (this.prefill == null || !this.prefill.isAttempted());
	}

	boolean hasCandidates(long now) {
		return !candidates(now).isEmpty();
	}

	@Override
	public List<WorkerState> candidates(long now) {
		return this.candidates.available(stage(), this.triedWorkers, now);
	}

	/**
	 * Returns the stage at which the request runs.
	 * @return the stage
	 */
	WorkerStage stage() {
		return (this.engine != null) ? WorkerStage.DECODE : WorkerStage.PLAIN;
	}

	@Override
	public String id() {
		return this.request.id();
	}

	@Override
	public int requiredTokens() {
		return this.timing.requiredTokens();
	}

	@Override
	public int rank() {
		return this.admitted.rank();
	}

	private int priority() {
		return Math.min(MAX_PRIORITY, this.admitted.priority());
	}

	@Override
	public long latestStart() {
		return this.timing.latestStart();
	}

	@Override
	public long waitDeadline() {
		return this.timing.waitDeadline();
	}

	/**
	 * Returns the expected time to generate the rest of the response.
	 * @return milliseconds; 0 if the request does not state its length
	 */
	long generationMs() {
		return this.timing.generationMs();
	}

	@Override
	public long reservationMs() {
		return (this.engine != null) ? this.engine.maxReservationMs() : 0;
	}

	@Override
	public boolean repeatable() {
		return this.route.repeatable();
	}

	@Override
	public long deadline() {
		return this.deadline;
	}

	@Override
	public void onWorker(WorkerState worker, long now) {
		prefillOrSend(worker, now);
	}

	@Override
	public void onReserved(WorkerState worker, String reservation, long now) {
		this.ticket = null;
		this.reservation = reservation;
		this.reservedAt = now;
		prefillOrSend(worker, now);
	}

	@Override
	public void onRejected(long now) {
		this.ticket = null;
		this.callback.onRefused(rejectionReason(now), now);
	}

	@Override
	public void onUnservable(long expectedWaitMs, long now) {
		this.expectedQueueMs = expectedWaitMs;
		onRejected(now);
	}

	/**
	 * Returns the time until the queue would have served the request.
	 * @return milliseconds; 0 if it was not refused for that
	 */
	long expectedQueueMs() {
		return this.expectedQueueMs;
	}

	private RefusalReason rejectionReason(long now) {
		if (this.candidates.all(stage(), this.triedWorkers, now).isEmpty()) {
			return noWorker();
		}
		return hasNoPath(now) ? RefusalReason.WORKERS_UNREACHABLE : RefusalReason.WORKERS_FULL;
	}

	private RefusalReason noWorker() {
		return requiredVersion().isPresent() ? RefusalReason.VERSION_GONE : RefusalReason.NO_WORKER;
	}

	@Override
	public Optional<String> requiredVersion() {
		return this.candidates.requiredVersion();
	}

	@Override
	public int slots(long now) {
		return this.candidates.totalSlots(stage(), now);
	}

	@Override
	public boolean hasNoPath(long now) {
		return this.candidates.areUnreachable(stage(), this.triedWorkers, now);
	}

	private void prefillOrSend(WorkerState w, long now) {
		this.target = w;
		if (this.prefill == null || this.prefill.isAttempted()) {
			send(now);
		}
		else if (!isTargetValid(w, now)) {
			restart(now);
		}
		else {
			this.prefill.start(w, now);
		}
	}

	@Override
	public boolean mayRetryPrefill(long now) {
		return this.callback.mayRetryPrefill(now);
	}

	@Override
	public boolean refuseBeforePrefill(long now) {
		return refuseIfLeaving(now) || refuseIfQuarantined(now);
	}

	@Override
	public WorkerCall prefillCall(WorkerInfo worker, long now) {
		return new WorkerCall(this.request, worker, Math.max(1, this.deadline - now), priority(),
				this.callback.lastEventId(), null, null, this.admitted.customerName());
	}

	@Override
	public void log(String message, long now) {
		this.callback.log(message, now);
	}

	@Override
	public void onPrefillDone(boolean refused, long now) {
		if (refused && !this.callback.mayContinueAfterRefusedPrefill(now)) {
			cancel();
			this.callback.onRefused(RefusalReason.WORKERS_FULL, now);
		}
		else {
			send(now);
		}
	}

	// Asked right before anything is sent: the same request may have crashed a worker
	// elsewhere while this one waited.
	private boolean refuseIfQuarantined(long now) {
		if (!this.gateway.quarantine.contains(this.identity, now)) {
			return false;
		}
		cancel();
		this.callback.onRefused(RefusalReason.CRASHES_WORKERS, now);
		return true;
	}

	// A busy VM may read a request, or get the place that it waits for, after its
	// deadline, and before the timer of the deadline has run.
	private boolean refuseIfTooLate(long now) {
		if (this.deadline - now >= MIN_ATTEMPT_MS) {
			return false;
		}
		cancel();
		this.callback.onRefused(RefusalReason.TIMED_OUT, now);
		return true;
	}

	private boolean refuseIfLeaving(long now) {
		if (!this.callback.endsWithVm(now)) {
			return false;
		}
		cancel();
		this.callback.onRefused(RefusalReason.LEAVING, now);
		return true;
	}

	private void send(long now) {
		WorkerState worker = this.target;
		if (worker == null || refuseIfTooLate(now) || refuseIfLeaving(now) || refuseIfQuarantined(now)) {
			return;
		}
		if (!isTargetValid(worker, now)) {
			restart(now);
			return;
		}
		if (this.reservation != null) {
			worker.limit().releaseReservation();
		}
		this.triedWorkers.add(worker.info().id());
		KvSource source = (this.prefill != null) ? this.prefill.takeSource(worker, now) : null;
		WorkerCall call = new WorkerCall(this.request, worker.info(), Math.max(1, this.deadline - now), priority(),
				null, source, this.reservation, this.admitted.customerName());
		this.target = null;
		this.reservation = null;
		this.callback.onReady(worker, call, now);
	}

	// While the prompt is prefilled elsewhere, the selected worker may start to leave,
	// and the response would break off. Or it may ask for a pause, and would refuse the
	// request.
	private boolean isTargetValid(WorkerState w, long now) {
		return w.isActive(now) && w.pauseRemainingMs(now) == 0 && this.gateway.roster.isCurrentInstance(w.info())
				&& (this.reservation == null || isReservationValid(now));
	}

	// A reservation expires when the prefill takes too long. If sent without it, the
	// request would be admitted without memory of its own, and a running request would be
	// evicted for it.
	private boolean isReservationValid(long now) {
		return now < this.reservedAt + reservationMs() - RESERVATION_MARGIN_MS;
	}

	// The KV cache stays usable for a fraction of a second and is kept for the next
	// reservation.
	private void restart(long now) {
		releasePlace();
		start(now);
	}

	/**
	 * Cancels the operations in progress and releases the acquired resources.
	 */
	void cancel() {
		if (this.prefill != null) {
			this.prefill.cancel();
		}
		releasePlace();
	}

	private void releasePlace() {
		this.gateway.plainCallQueue(this.upstream).cancel(this);
		if (this.ticket != null) {
			this.gateway.reservationQueue(this.upstream).cancel(this.ticket);
			this.ticket = null;
		}
		if (this.limitWait != null) {
			this.limitWait.cancel();
			this.limitWait = null;
		}
		if (this.reservation != null && this.target != null) {
			this.target.limit().releaseReservation();
			this.gateway.notices.cancelReservation(this.target.info(), this.reservation);
			this.reservation = null;
		}
		this.target = null;
	}

	/**
	 * Receives the results of the placement and answers its questions about the request.
	 */
	interface Callback {

		// A worker is selected; send the call.
		void onReady(WorkerState worker, WorkerCall call, long now);

		// No worker accepts the request.
		void onRefused(RefusalReason reason, long now);

		// A prefill was refused, which counts as an attempt. Is another attempt allowed?
		boolean mayContinueAfterRefusedPrefill(long now);

		// Only the first prefill that a worker accepts is exempt from the attempt limit
		// and the retry budget. May another one be charged to them, and the request be
		// run after it?
		boolean mayRetryPrefill(long now);

		// Must the request be refused instead of sent, as this VM may end before it?
		boolean endsWithVm(long now);

		// Tokens of the response that the caller has received, as far as that is known.
		int receivedTokens();

		// The event after which the response resumes, if the caller has its beginning.
		@Nullable String lastEventId();

		// Logs a message.
		void log(String message, long now);

	}

}
