package io.shallotspur.gateway;

import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

/**
 * A prefill at a worker of its own, before the request is sent to its decode worker. Not
 * thread-safe; confined to the gateway's thread.
 * <p>
 * Invariant: a KV cache that became ready is either handed to the task or freed.
 */
final class PrefillStep implements PrefillListener {

	private final Gateway g;

	private final WorkerState worker;

	private final PromptShape prompt;

	private final Consumer<Result> then;

	private final Runnable onWorkerEnd = () -> onFailure(new ExchangeFailure(true, "worker started again"));

	private @Nullable Exchange exchange;

	private Runnable cancelTimer = () -> {
	};

	private long startedAt;

	private boolean over;

	/**
	 * Creates a step.
	 * @param g the gateway
	 * @param worker the prefill worker
	 * @param prompt the prompt
	 * @param then told of the result, once, unless the step is cancelled
	 */
	PrefillStep(Gateway g, WorkerState worker, PromptShape prompt, Consumer<Result> then) {
		this.g = g;
		this.worker = worker;
		this.prompt = prompt;
		this.then = then;
	}

	void start(WorkerCall call, long limitMs) {
		this.startedAt = this.g.clock.getAsLong();
		this.worker.started();
		this.g.recordSent(this.worker, this.startedAt);
		this.worker.whenEnded(this.onWorkerEnd);
		this.cancelTimer = this.g.timer.schedule(limitMs, () -> {
			this.g.engineTimes(this.worker.info().upstream()).prefillTimedOut(limitMs);
			onFailure(new ExchangeFailure(true, "no answer"));
		});
		Exchange e = this.g.workerPort.prefill(call, this);
		this.exchange = e;
		if (this.over) {
			e.cancel();
		}
	}

	WorkerState worker() {
		return this.worker;
	}

	@Override
	public void onNews(WorkerNews news) {
		this.g.updateWorkerStatus(this.worker, news, this.startedAt);
	}

	@Override
	public void onReady(String handle) {
		KvSource s = new KvSource(this.worker.info(), handle);
		if (this.over) {
			this.g.workerPort.releaseKvCache(s);
			return;
		}
		end();
		this.g.engineTimes(this.worker.info().upstream()).prefilled(this.g.clock.getAsLong() - this.startedAt, this.prompt);
		this.then.accept(new Result(s, null, false));
	}

	@Override
	public void onRefused(String reason, boolean otherWorker) {
		if (otherWorker) {
			this.g.roster.replaced(this.worker.info().id(), WorkerStage.PREFILL, this.g.clock.getAsLong());
		}
		if (!this.over) {
			end();
			this.then.accept(new Result(null, reason, true));
		}
	}

	@Override
	public void onFailure(ExchangeFailure f) {
		if (!this.over) {
			cancel();
			// An answer that does not come, or a connection that cannot be made: the next
			// prompts are better off elsewhere for a while.
			this.worker.unreachable(this.g.clock.getAsLong());
			this.then.accept(new Result(null, f.reason(), false));
		}
	}

	void cancel() {
		if (this.over) {
			return;
		}
		end();
		if (this.exchange != null) {
			this.exchange.cancel();
		}
	}

	private void end() {
		this.over = true;
		this.cancelTimer.run();
		this.worker.forget(this.onWorkerEnd);
		this.worker.ended();
	}

	/**
	 * How a prefill ended. Immutable.
	 *
	 * @param source the KV cache, or {@code null} if there is none
	 * @param failure what was seen if there is none
	 * @param refused whether the worker turned the prefill away; that counts as an
	 * attempt
	 */
	record Result(@Nullable KvSource source, @Nullable String failure, boolean refused) {

	}

}
