package io.shallotspur.gateway;

import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

/**
 * A prefill at a separate prefill worker, before the request is sent to its decode
 * worker. Not thread-safe; confined to the gateway's thread.
 * <p>
 * Invariant: a KV cache that became ready is either passed to the callback or released.
 */
final class PrefillStep implements PrefillListener {

	private final Gateway gateway;

	private final WorkerState worker;

	private final PromptInfo prompt;

	private final LazyIdentity identity;

	private final Consumer<Result> callback;

	private final Runnable workerTerminationListener = () -> onFailure(new ExchangeFailure(true, "worker restarted"));

	private @Nullable Exchange exchange;

	private Runnable cancelTimer = () -> {
	};

	private long startedAt;

	private double loadAtStart;

	private boolean direct;

	private boolean finished;

	/**
	 * Creates a step.
	 * @param gateway the gateway
	 * @param worker the prefill worker
	 * @param prompt the prompt
	 * @param identity the fingerprints of the request
	 * @param callback receives the result, once, unless the step is cancelled
	 */
	PrefillStep(Gateway gateway, WorkerState worker, PromptInfo prompt, LazyIdentity identity,
			Consumer<Result> callback) {
		this.gateway = gateway;
		this.worker = worker;
		this.prompt = prompt;
		this.identity = identity;
		this.callback = callback;
	}

	void start(WorkerCall call, long timeoutMs) {
		this.startedAt = this.gateway.clock.getAsLong();
		this.loadAtStart = this.worker.estimatedLoad(this.startedAt);
		this.worker.requestStarted();
		this.direct = this.gateway.paths.isDirect(this.worker);
		this.gateway.recordSent(this.worker, this.startedAt);
		this.worker.addTerminationListener(this.workerTerminationListener);
		this.cancelTimer = this.gateway.timer.schedule(timeoutMs, () -> {
			this.gateway.engineTimes(this.worker.info().upstream()).recordPrefillTimeout(timeoutMs);
			onFailure(new ExchangeFailure(true, "no response"));
		});
		Exchange e = this.gateway.workerPort.prefill(call, this);
		this.exchange = e;
		if (this.finished) {
			e.cancel();
		}
	}

	WorkerState worker() {
		return this.worker;
	}

	@Override
	public void onStatus(WorkerStatus status) {
		this.gateway.updateWorkerStatus(this.worker, status, this.startedAt);
	}

	@Override
	public void onReady(String handle) {
		this.gateway.paths.recordResponse(this.worker, this.direct, this.gateway.clock.getAsLong());
		KvSource source = new KvSource(this.worker.info(), handle);
		if (this.finished) {
			this.gateway.notices.releaseKvCache(source);
			return;
		}
		finish();
		this.gateway.engineTimes(this.worker.info().upstream())
			.recordPrefill(this.gateway.clock.getAsLong() - this.startedAt, this.prompt);
		this.worker.recordPrefill(this.gateway.clock.getAsLong() - this.startedAt, this.prompt.promptTokens(),
				this.loadAtStart, this.gateway.clock.getAsLong());
		this.callback.accept(new Result(source, null, false));
	}

	@Override
	public void onRefused(String reason, boolean instanceReplaced) {
		long now = this.gateway.clock.getAsLong();
		if (instanceReplaced) {
			this.gateway.roster.instanceReplaced(this.worker.info().id(), WorkerStage.PREFILL, now);
		}
		else {
			this.gateway.paths.recordResponse(this.worker, this.direct, now);
		}
		if (!this.finished) {
			finish();
			this.callback.accept(new Result(null, reason, true));
		}
	}

	@Override
	public void onFailure(ExchangeFailure failure) {
		if (!this.finished) {
			stop();
			// After a timeout or a failed connection, the next prompts are sent elsewhere
			// for a while.
			long now = this.gateway.clock.getAsLong();
			this.gateway.paths.notReached(this.worker, failure.reason(), now);
			if (failure.sent()) {
				this.gateway.paths.noResponse(this.worker, now);
			}
			else {
				this.gateway.paths.connectFailed(this.worker, now);
			}
			if (failure.sent()) {
				this.gateway.crashDetector.onInterrupted(this.worker, this.identity, 0, now);
			}
			this.callback.accept(new Result(null, failure.reason(), false));
		}
	}

	void cancel() {
		if (!this.finished) {
			stop();
			this.gateway.crashDetector.onCancelled(this.worker, this.identity, 0, this.gateway.clock.getAsLong());
		}
	}

	private void stop() {
		finish();
		if (this.exchange != null) {
			this.exchange.cancel();
		}
	}

	private void finish() {
		this.finished = true;
		this.cancelTimer.run();
		this.worker.removeTerminationListener(this.workerTerminationListener);
		this.worker.requestEnded();
	}

	/**
	 * The result of a prefill. Immutable.
	 *
	 * @param source the KV cache, or {@code null} if there is none
	 * @param failure the failure if there is no KV cache
	 * @param refused whether the worker refused the prefill; that counts as an attempt
	 */
	record Result(@Nullable KvSource source, @Nullable String failure, boolean refused) {

	}

}
