package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.List;

/**
 * Workers whose answers the test gives by hand.
 */
final class FakeWorkers implements WorkerPort {

	final List<Run> runs = new ArrayList<>();

	final List<Prefill> prefills = new ArrayList<>();

	final List<Hold> holds = new ArrayList<>();

	final List<String> dropped = new ArrayList<>();

	final List<String> released = new ArrayList<>();

	@Override
	public Exchange run(WorkerCall call, ExchangeListener listener) {
		Run r = new Run(call, listener);
		this.runs.add(r);
		return () -> r.cancelled = true;
	}

	@Override
	public Exchange prefill(WorkerCall call, PrefillListener listener) {
		Prefill p = new Prefill(call, listener);
		this.prefills.add(p);
		return () -> p.cancelled = true;
	}

	@Override
	public void release(KvSource source) {
		this.released.add(source.handle());
	}

	@Override
	public void hold(WorkerInfo worker, int tokens, long ttlMs, HoldListener listener) {
		this.holds.add(new Hold(worker, tokens, listener));
	}

	@Override
	public void drop(WorkerInfo worker, String hold) {
		this.dropped.add(hold);
	}

	Run last() {
		return this.runs.get(this.runs.size() - 1);
	}

	static final class Run {

		final WorkerCall call;

		final ExchangeListener listener;

		boolean cancelled;

		private Run(WorkerCall call, ExchangeListener listener) {
			this.call = call;
			this.listener = listener;
		}

		void answer(int status, String body) {
			head(status);
			this.listener.onBytes(body.getBytes());
			this.listener.onEnd();
		}

		void head(int status) {
			this.listener.onHead(new AnswerHead(status, List.of(), AnswerOrigin.SIGNED, false, false, WorkerNews.NONE));
		}

		void answerNaming(WorkerLimit limit) {
			this.listener
				.onHead(new AnswerHead(200, List.of(), AnswerOrigin.SIGNED, false, false, new WorkerNews(null, limit)));
			this.listener.onBytes("fine".getBytes());
			this.listener.onEnd();
		}

		void notRun() {
			this.listener.onHead(new AnswerHead(503, List.of(), AnswerOrigin.UNSIGNED, true, false, WorkerNews.NONE));
		}

		void replaced() {
			this.listener.onHead(new AnswerHead(421, List.of(), AnswerOrigin.UNSIGNED, true, true, WorkerNews.NONE));
		}

		void lost() {
			this.listener.onFailure(new ExchangeFailure(true, "reset"));
		}

		void notSent() {
			this.listener.onFailure(new ExchangeFailure(false, "refused"));
		}

		void events(String text) {
			this.listener.onBytes(text.getBytes());
		}

	}

	static final class Prefill {

		final WorkerCall call;

		final PrefillListener listener;

		boolean cancelled;

		private Prefill(WorkerCall call, PrefillListener listener) {
			this.call = call;
			this.listener = listener;
		}

	}

	record Hold(WorkerInfo worker, int tokens, HoldListener listener) {

	}

}
