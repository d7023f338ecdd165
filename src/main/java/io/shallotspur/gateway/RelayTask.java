package io.shallotspur.gateway;

import org.jspecify.annotations.Nullable;

import io.shallotspur.route.Customer;
import io.shallotspur.route.Route;
import io.shallotspur.route.RouteKind;
import io.shallotspur.route.UpstreamSpec;

/**
 * One request on its way: places it, judges each attempt's end and answers the caller.
 * Not thread-safe; confined to the gateway's thread.
 * <p>
 * Invariants: the caller is answered once; a request that may have run is never answered
 * as not run, and is sent again only if a second run does no harm.
 */
final class RelayTask implements Attempt.Sink, Placing.Sink {

	// The worker stops by itself at the end of its time; its own answer is worth waiting
	// for a little, ms. Answers cross a hall in a few ms.
	private static final long WORKER_TIMEOUT_SLACK_MS = 60;

	// With less time than this left no worker can answer, ms: the fastest answer takes
	// two crossings and a few ms of work.
	private static final long LEAST_ATTEMPT_MS = 10;

	private final Gateway g;

	private final Admitted admitted;

	private final Route route;

	private final RelayRequest request;

	private final CallerAnswer answer;

	private final String upstream;

	private final long arrivedAt;

	private final long answerBy;

	private final Placing placing;

	private final AnswerProgress progress;

	private AttemptHistory history = AttemptHistory.NONE;

	private @Nullable Attempt attempt;

	private long attemptAt;

	private Runnable cancelDeadline = () -> {
	};

	private boolean prefillsThere;

	private boolean begun;

	private boolean finished;

	RelayTask(Gateway g, Admitted admitted, CallerAnswer answer, long arrivedAt) {
		this.g = g;
		this.admitted = admitted;
		this.route = admitted.route();
		this.request = admitted.request();
		this.answer = answer;
		this.arrivedAt = arrivedAt;
		this.answerBy = arrivedAt + Math.min(this.request.waitMs(), this.route.timeoutMs());
		this.upstream = this.route.chooseUpstream(g.random.next());
		UpstreamSpec spec = admitted.table().upstream(this.upstream).orElse(null);
		this.progress = new AnswerProgress((spec != null) ? spec.engine() : null, this.request.lastEventId());
		this.placing = new Placing(g, admitted, this.upstream, spec, this, arrivedAt, this.answerBy);
	}

	void start(long now) {
		this.g.retries.firstTry(this.upstream, now);
		long callerLeft = this.request.waitMs() - (this.answerBy - this.arrivedAt);
		long slack = Math.min(WORKER_TIMEOUT_SLACK_MS, callerLeft);
		this.cancelDeadline = this.g.timer.after(this.answerBy + slack - now, this::timeUp);
		if (this.request.prompt() != null) {
			this.g.times(this.upstream).asked(this.request.prompt());
		}
		this.placing.start(now);
	}

	@Override
	public void ready(WorkerState w, WorkerCall call, long now) {
		this.attemptAt = now;
		w.started();
		this.g.sent(w, now);
		if (w.onGrace()) {
			this.g.metrics.sentToVanished();
			note("sent to vanished worker=" + w.info().id(), now);
		}
		this.g.roster.detector(this.upstream).started(w.info().id(), now);
		Attempt a = new Attempt(this, w, this.route.kind() == RouteKind.STREAM, this.begun);
		this.attempt = a;
		this.prefillsThere = call.kvSource() == null && this.request.prompt() != null;
		w.prefilling(this.prefillsThere ? 1 : 0);
		a.send(this.g.workers, call.withLastEventId(this.progress.lastEventId()));
	}

	@Override
	public void nowhere(RefusalReason reason, long now) {
		refuseOrReport(reason, now);
	}

	@Override
	public boolean mayGoOnAfterPrefill(long now) {
		this.history = this.history.with(AttemptEnd.NOT_RUN);
		return mayRetry(AttemptEnd.NOT_RUN, now);
	}

	@Override
	public boolean mayPrefillAgain(long now) {
		AttemptHistory before = this.history;
		boolean may = mayGoOnAfterPrefill(now);
		this.history = may ? this.history : before;
		return may;
	}

	@Override
	public int received() {
		return this.progress.received();
	}

	@Override
	public @Nullable String lastEventId() {
		return this.progress.lastEventId();
	}

	@Override
	public void note(String what, long now) {
		log(now, what);
	}

	@Override
	public void head(AnswerHead head) {
		if (this.attempt == null) {
			return;
		}
		WorkerState w = this.attempt.worker();
		this.g.told(w, head.news(), this.attemptAt);
		if (head.otherWorker()) {
			this.g.roster.replaced(w.info().id(), this.placing.stage(), this.g.clock.getAsLong());
		}
	}

	@Override
	public void begin(AnswerHead head) {
		this.begun = true;
		this.answer.begin(head.status(), head.headers());
		firstByte();
	}

	@Override
	public void event(byte[] event) {
		this.progress.event(event, this.attemptAt, this.g.times(this.upstream), this.g.clock.getAsLong());
		this.answer.write(event);
	}

	@Override
	public void bytes(byte[] bytes) {
		this.answer.write(bytes);
	}

	private void prefillOver() {
		if (this.prefillsThere && this.attempt != null) {
			this.attempt.worker().prefilling(-1);
			this.prefillsThere = false;
		}
	}

	private void firstByte() {
		long now = this.g.clock.getAsLong();
		this.progress.firstByte(now);
		prefillOver();
		this.g.metrics.firstByte(this.route.name(), now - this.arrivedAt);
		if (this.attempt != null) {
			String id = this.attempt.worker().info().id();
			this.g.times(this.upstream).firstByte(now - Math.max(this.arrivedAt, this.placing.heldAt()));
			this.g.roster.detector(this.upstream).succeeded(id, now - this.attemptAt, now);
			this.attempt.worker().outcome(false);
		}
	}

	@Override
	public void succeeded(AnswerHead head, byte[] body, boolean inParts) {
		long now = this.g.clock.getAsLong();
		if (!inParts) {
			firstByte();
		}
		this.g.metrics.answered(this.route.name(), this.admitted.customerName(), now - this.arrivedAt);
		PromptShape p = this.request.prompt();
		if (inParts && p != null && this.request.lastEventId() == null) {
			this.g.times(this.upstream).streamed(now - this.progress.firstAt(), p, received());
		}
		log(now, "answered status=" + head.status() + times());
		endAttempt();
		finish();
		if (inParts) {
			this.answer.end();
		}
		else {
			this.answer.whole(head.status(), head.headers(), body);
		}
	}

	@Override
	public void failed(AttemptEnd end, String reason, @Nullable AnswerHead head, byte[] body) {
		long now = this.g.clock.getAsLong();
		this.history = this.history.with(end);
		this.g.metrics.attemptEnded(end);
		note(end, now);
		NextStep next = this.history.next(end, mayRetry(end, now));
		log(now, "attempt=" + end + " seen=\"" + reason + "\" next=" + next);
		endAttempt();
		switch (next) {
			case RETRY -> {
				this.g.metrics.retried();
				this.placing.start(now);
			}
			case RELAY_FAILURE -> relayFailure(head, body, now);
			case REFUSE_NOT_RUN, REPORT_UNKNOWN -> refuseOrReport(reason(end), now);
		}
	}

	private void note(AttemptEnd end, long now) {
		if (this.attempt == null) {
			return;
		}
		WorkerState w = this.attempt.worker();
		w.outcome(true);
		if (end == AttemptEnd.NOT_RUN) {
			int slots = w.info().slots();
			w.reported(new LoadReport(slots, slots, slots), now);
		}
		else {
			this.g.roster.detector(this.upstream).failed(w.info().id(), now);
		}
		if (end == AttemptEnd.NOT_SENT) {
			w.unreachable(now);
		}
	}

	private boolean mayRetry(AttemptEnd end, long now) {
		if (!this.history.allowsAnother(this.route.maxAttempts(), this.route.repeatable())) {
			return false;
		}
		if (this.begun && !this.route.resumable()) {
			return false;
		}
		if (this.answerBy - now < LEAST_ATTEMPT_MS || !this.placing.anyLeft(now)) {
			return false;
		}
		// What never left this VM has arrived nowhere, so it takes nothing of the budget.
		return end == AttemptEnd.NOT_SENT || this.g.retries.tryRetry(this.upstream, this.g.vms, now);
	}

	private static RefusalReason reason(AttemptEnd end) {
		return switch (end) {
			case NOT_SENT -> RefusalReason.NO_WORKER;
			case NOT_RUN -> RefusalReason.WORKERS_FULL;
			case FAILED, UNKNOWN -> RefusalReason.WORKER_LOST;
		};
	}

	// Where the time went, counted from the arrival, ms.
	private String times() {
		long held = Math.max(this.arrivedAt, this.placing.heldAt());
		return " tokens=" + this.placing.tokens() + " held-ms=" + (held - this.arrivedAt) + " sent-ms="
				+ (this.attemptAt - this.arrivedAt) + " first-ms=" + (this.progress.firstAt() - this.arrivedAt)
				+ " pause-ms=" + this.progress.longestPauseMs();
	}

	private void relayFailure(@Nullable AnswerHead head, byte[] body, long now) {
		if (head == null || this.begun) {
			refuseOrReport(RefusalReason.WORKER_LOST, now);
			return;
		}
		log(now, "failed status=" + head.status());
		finish();
		this.answer.whole(head.status(), head.headers(), body);
	}

	private void refuseOrReport(RefusalReason reason, long now) {
		if (this.begun) {
			breakOff(reason, now);
		}
		else if (this.history.mayHaveRun()) {
			refuse(new RelayRefusal(RelayRefusal.OUTCOME_UNKNOWN, reason, 0), now);
		}
		else {
			refuse(RelayRefusal.notRun(reason, retryAfterMs(reason, now)), now);
		}
	}

	private long retryAfterMs(RefusalReason reason, long now) {
		double draw = this.g.random.next();
		long left = this.request.waitMs() - (now - this.arrivedAt);
		if (reason == RefusalReason.WORKERS_LIMITED) {
			return RetryAdvice.afterRefillMs(this.placing.limitWaitMs(now), left, draw);
		}
		boolean late = now > this.placing.latestStart();
		boolean known = this.request.waitMs() != Long.MAX_VALUE;
		if (late && known && this.route.kind() == RouteKind.STREAM) {
			return Math.max(1, RetryAdvice.afterLateMs(left, this.placing.answerMs(), draw));
		}
		return RetryAdvice.afterMs(this.route, draw);
	}

	private void timeUp() {
		if (this.finished) {
			return;
		}
		long now = this.g.clock.getAsLong();
		if (this.begun) {
			breakOff(RefusalReason.TIMED_OUT, now);
		}
		else {
			refuse(new RelayRefusal(RelayRefusal.TIMED_OUT, RefusalReason.TIMED_OUT, 0), now);
		}
	}

	private void refuse(RelayRefusal r, long now) {
		cancelAttempt();
		giveBack(r);
		this.g.metrics.refused(r.code(), this.admitted.customerName());
		log(now, "refused status=" + r.status() + " reason=" + r.code().code() + " retry-after-ms=" + r.retryAfterMs());
		finish();
		this.answer.refuse(r);
	}

	// What has not run is not charged: the caller is told to come back, and would pay
	// twice.
	private void giveBack(RelayRefusal r) {
		Customer c = this.admitted.customer();
		if (c != null && r.status() == RelayRefusal.NOT_RUN) {
			this.g.quotas.giveBack(c, this.admitted.cost());
		}
	}

	private void breakOff(RefusalReason reason, long now) {
		cancelAttempt();
		this.g.metrics.brokenOff();
		log(now, "broken-off reason=" + reason.code() + " last-event=" + this.progress.lastEventId());
		finish();
		this.answer.breakOff();
	}

	void callerGone() {
		if (this.finished) {
			return;
		}
		cancelAttempt();
		this.g.metrics.callerGone();
		log(this.g.clock.getAsLong(), "caller-gone");
		finish();
	}

	private void cancelAttempt() {
		this.placing.cancel();
		if (this.attempt != null) {
			this.attempt.cancel();
			endAttempt();
		}
	}

	private void endAttempt() {
		if (this.attempt != null) {
			WorkerState w = this.attempt.worker();
			w.ended();
			w.lasted(this.g.clock.getAsLong() - this.attemptAt);
			prefillOver();
			this.attempt = null;
			this.g.freed(this.upstream, w.info().id());
		}
	}

	// Comes before the answer: the end of a connection that closes with its answer must
	// not be taken for a caller who has left.
	private void finish() {
		this.finished = true;
		this.cancelDeadline.run();
		this.g.ended();
	}

	private void log(long now, String what) {
		String worker = (this.attempt != null) ? this.attempt.worker().info().id() : "none";
		this.g.log.write(now,
				() -> "id=" + this.request.id() + " route=" + this.route.name() + " upstream=" + this.upstream
						+ " customer=" + this.admitted.customerName() + " worker=" + worker + " config="
						+ this.admitted.table().version() + " sends=" + this.history.sends() + " ms="
						+ (now - this.arrivedAt) + " " + what);
	}

}
