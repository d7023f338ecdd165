package io.shallotspur.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import io.shallotspur.route.EngineSpec;
import io.shallotspur.route.Route;

/**
 * The prefill of the prompt of one request at separate prefill workers, if that is faster
 * than at its decode worker, with the KV cache that results. Not thread-safe; confined to
 * the gateway's thread.
 * <p>
 * Invariants: a KV cache that was not taken is released; {@link Owner#onPrefillDone} is
 * called once for each {@link #start}, unless {@link #cancel} or a refusal comes first.
 */
final class PromptPrefill {

	// A prefill takes about 100 ms; if there is no response within several times that,
	// the worker is taken to be unreachable, ms.
	private static final long MIN_TIMEOUT_MS = 400;

	// Fraction of the reservation that a prefill may use; the remainder is for the call
	// that follows it.
	private static final double RESERVATION_FRACTION = 0.6;

	// Fraction of the time to the first event that a prefill may use. The remainder is
	// for a decode worker that has to prefill by itself after all.
	private static final double TARGET_FRACTION = 0.6;

	private final Gateway gateway;

	private final Route route;

	private final PromptInfo prompt;

	private final LazyIdentity identity;

	private final String upstream;

	private final EngineSpec engine;

	private final Candidates candidates;

	private final Owner owner;

	private final Set<String> triedWorkers = new HashSet<>();

	private @Nullable WorkerState decodeWorker;

	private @Nullable PrefillStep step;

	private @Nullable KvSource source;

	private long prefilledAt;

	private boolean attempted;

	/**
	 * Creates a prefill that has not started.
	 * @param gateway the gateway
	 * @param admitted the request
	 * @param prompt its prompt
	 * @param identity its fingerprints
	 * @param upstream the upstream
	 * @param engine the engines of the upstream
	 * @param candidates the workers of the upstream
	 * @param owner receives the result
	 */
	PromptPrefill(Gateway gateway, AdmittedRequest admitted, PromptInfo prompt, LazyIdentity identity, String upstream,
			EngineSpec engine, Candidates candidates, Owner owner) {
		this.gateway = gateway;
		this.route = admitted.route();
		this.prompt = prompt;
		this.identity = identity;
		this.upstream = upstream;
		this.engine = engine;
		this.candidates = candidates;
		this.owner = owner;
	}

	/**
	 * Returns whether a prefill worker has been sent the prompt.
	 * @return {@code true} if the prompt must not be sent for another place
	 */
	boolean isAttempted() {
		return this.attempted;
	}

	/**
	 * Prefills the prompt, if a prefill worker is faster than the decode worker.
	 * @param w the decode worker at which the request has a place
	 * @param now the present time in milliseconds
	 */
	void start(WorkerState w, long now) {
		this.decodeWorker = w;
		start(false, now);
	}

	private void start(boolean retry, long now) {
		List<WorkerState> workers = compatible(this.candidates.available(WorkerStage.PREFILL, this.triedWorkers, now));
		Optional<WorkerState> selected = PrefillSelector.select(this.prompt, workers, this.decodeWorker, wouldStall(),
				this.gateway.settings.hall(), this.gateway.random, now);
		if (selected.isEmpty() || (retry && !this.owner.mayRetryPrefill(now))) {
			this.owner.onPrefillDone(false, now);
		}
		else if (!this.owner.refuseBeforePrefill(now)) {
			send(selected.get(), now);
		}
	}

	// A KV cache that another version has written may not be readable.
	private List<WorkerState> compatible(List<WorkerState> prefillWorkers) {
		WorkerState d = this.decodeWorker;
		return prefillWorkers.stream()
			.filter((w) -> d != null && w.info().version().equals(d.info().version()))
			.toList();
	}

	private void send(WorkerState w, long now) {
		this.attempted = true;
		this.triedWorkers.add(w.info().id());
		this.step = new PrefillStep(this.gateway, w, this.prompt, this.identity, this::onResult);
		this.step.start(this.owner.prefillCall(w.info(), now), timeoutMs());
	}

	private boolean wouldStall() {
		return this.gateway.engineTimes(this.upstream)
			.statistics()
			.filter((f) -> f.wouldStall(this.prompt.promptTokens(), this.engine.tokensPerEvent(),
					this.route.maxEventGapMs()))
			.isPresent();
	}

	// Follows the duration of recent prefills, within the lifetime of the reservation.
	private long timeoutMs() {
		long defaultMs = Math.max(MIN_TIMEOUT_MS, (long) (this.route.latencyTargetMs() * TARGET_FRACTION));
		long maxMs = Math.max(defaultMs, (long) (RESERVATION_FRACTION * this.engine.maxReservationMs()));
		long expectedMs = this.gateway.engineTimes(this.upstream).prefillTimeoutMs();
		return (expectedMs > 0) ? Math.min(maxMs, Math.max(MIN_TIMEOUT_MS, expectedMs)) : defaultMs;
	}

	private void onResult(PrefillStep.Result result) {
		long now = this.gateway.clock.getAsLong();
		this.step = null;
		this.source = result.source();
		this.prefilledAt = now;
		if (result.failure() != null) {
			this.owner.log("prefill failed seen=\"" + result.failure() + "\" refused=" + result.refused(), now);
		}
		if (result.source() == null && !result.refused() && wouldStall()) {
			start(true, now);
		}
		else {
			this.owner.onPrefillDone(result.refused(), now);
		}
	}

	/**
	 * Takes the KV cache, which the caller has to use.
	 * @param w the decode worker that is to use it
	 * @param now the present time in milliseconds
	 * @return the KV cache, or {@code null} if there is none, it has expired or it was
	 * written by another version than the decode worker's
	 */
	@Nullable KvSource takeSource(WorkerState w, long now) {
		KvSource taken = this.source;
		this.source = null;
		if (taken == null || (isValid(taken, now) && taken.worker().version().equals(w.info().version()))) {
			return taken;
		}
		this.gateway.notices.releaseKvCache(taken);
		return null;
	}

	private boolean isValid(KvSource s, long now) {
		long ttl = this.engine.kvHandleTtlMs();
		return this.gateway.roster.isCurrentInstance(s.worker()) && (ttl <= 0 || now - this.prefilledAt < ttl);
	}

	/**
	 * Cancels a prefill in progress and releases a KV cache that was not taken.
	 */
	void cancel() {
		if (this.step != null) {
			this.step.cancel();
			this.step = null;
		}
		if (this.source != null) {
			this.gateway.notices.releaseKvCache(this.source);
			this.source = null;
		}
	}

	/**
	 * Receives the result of a prefill and answers its questions about the request.
	 */
	interface Owner {

		// The prompt is prefilled or will not be, or a prefill worker refused it.
		void onPrefillDone(boolean refused, long now);

		// May another prefill be charged to the attempts, and the request be run after
		// it?
		boolean mayRetryPrefill(long now);

		// Refuses the request if it must not be sent to any worker.
		boolean refuseBeforePrefill(long now);

		// The call that sends the prompt to a worker.
		WorkerCall prefillCall(WorkerInfo worker, long now);

		// Logs a message.
		void log(String message, long now);

	}

}
