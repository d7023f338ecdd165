package io.shallotspur.gateway;

import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import io.shallotspur.route.Customer;
import io.shallotspur.route.Route;
import io.shallotspur.route.RouteKind;
import io.shallotspur.route.UpstreamSpec;

/**
 * Relays one admitted request: selects workers, runs attempts, decides on retries and
 * responds to the caller. Not thread-safe; confined to the gateway's thread.
 * <p>
 * Invariants: the caller gets one response; a request that may have run is never reported
 * as not run, and is sent again only if running it twice is harmless; a request that has
 * not run is not sent if this VM may end before it.
 */
final class RelayTask implements Attempt.Listener, RequestPlacement.Callback {

	// The worker enforces the deadline itself. Its own response is worth a short wait,
	// ms: a response crosses a hall in a few ms.
	private static final long WORKER_TIMEOUT_SLACK_MS = 60;

	private final Gateway gateway;

	private final AdmittedRequest admitted;

	private final Route route;

	private final RelayRequest request;

	private final CallerResponse response;

	private final String upstream;

	private final long arrivedAt;

	private final Runnable onFinished;

	private final long deadline;

	private final RequestPlacement placing;

	private final RetryDelay retryDelay;

	private final ResponseProgress progress;

	private final LazyIdentity identity;

	private final RelayLog log;

	private final OriginRecorder originRecorder;

	private final AttemptProgress attemptProgress = new AttemptProgress();

	private final AttemptPath path;

	private final UnsentAttempts unsent = new UnsentAttempts();

	private AttemptHistory history = AttemptHistory.NONE;

	private @Nullable Attempt attempt;

	private long attemptStartedAt;

	private Runnable cancelDeadline = () -> {
	};

	private boolean prefillsAtWorker;

	private boolean wasPaused;

	private boolean responseStarted;

	private boolean paused;

	private boolean finished;

	RelayTask(Gateway gateway, AdmittedRequest admitted, CallerResponse response, long arrivedAt, long deadline,
			Runnable onFinished) {
		this.gateway = gateway;
		this.admitted = admitted;
		this.route = admitted.route();
		this.request = admitted.request();
		this.response = response;
		this.arrivedAt = arrivedAt;
		this.onFinished = onFinished;
		this.deadline = deadline;
		StreamOrigin origin = admitted.origin();
		this.upstream = (origin != null) ? origin.upstream() : this.route.chooseUpstream(gateway.random.next());
		this.identity = new LazyIdentity(admitted, this.upstream, gateway.partFingerprints);
		this.log = new RelayLog(gateway, admitted, this.upstream, this.identity, arrivedAt);
		UpstreamSpec spec = admitted.routeTable().upstream(this.upstream).orElse(null);
		this.progress = new ResponseProgress((spec != null) ? spec.engine() : null, this.request.lastEventId());
		this.placing = new RequestPlacement(gateway, admitted, this.identity, this.upstream, spec, this, arrivedAt,
				this.deadline);
		this.originRecorder = new OriginRecorder(gateway, admitted, this.placing);
		this.path = new AttemptPath(gateway.paths, this::pathIsSilent);
		this.retryDelay = new RetryDelay(gateway, this.request, this.route, this.identity, this.placing, arrivedAt);
	}

	void start(long now) {
		this.response.admitted(this.request.id(), this.admitted.rank(), this::setPaused);
		this.gateway.retryBudget.recordFirstAttempt(this.upstream, now);
		long callerSlackMs = this.request.callerTimeoutMs() - (this.deadline - this.arrivedAt);
		long slackMs = Math.min(WORKER_TIMEOUT_SLACK_MS, callerSlackMs);
		this.cancelDeadline = this.gateway.timer.schedule(this.deadline + slackMs - now, this::onDeadline);
		if (this.request.prompt() != null) {
			this.gateway.engineTimes(this.upstream).recordRequest(this.request.prompt());
		}
		if (this.request.lastEventId() != null) {
			this.gateway.metrics.resumedByCaller();
			log("resumes stream-of=" + this.request.resumedRequest() + " after-event=" + this.request.lastEventId()
					+ " version=" + this.placing.requiredVersion().orElse("any"), now);
		}
		this.placing.start(now);
	}

	@Override
	public void onReady(WorkerState w, WorkerCall call, long now) {
		this.attemptStartedAt = now;
		this.attemptProgress.attemptStarted();
		w.requestStarted();
		this.gateway.recordSent(w, now);
		if (w.inGracePeriod()) {
			this.gateway.metrics.sentToVanished();
			log("sent to worker without a registration (grace period) worker=" + w.info().id(), now);
		}
		this.gateway.roster.outlierDetector(this.upstream).recordStart(w.info().id(), now);
		Attempt a = new Attempt(this, w, this.route.kind() == RouteKind.STREAM, this.responseStarted);
		this.attempt = a;
		w.adjustPausedRequests(this.paused ? 1 : 0);
		this.prefillsAtWorker = call.kvSource() == null && this.request.prompt() != null;
		w.adjustActivePrefills(this.prefillsAtWorker ? 1 : 0);
		if (this.path.start(w, now)) {
			this.gateway.metrics.sentThroughVm();
		}
		a.send(this.gateway.workerPort, call.withLastEventId(this.progress.lastEventId()));
		a.setPaused(this.paused);
	}

	private void setPaused(boolean newPaused) {
		if (this.attempt != null && newPaused != this.paused) {
			this.attempt.worker().adjustPausedRequests(newPaused ? 1 : -1);
		}
		this.paused = newPaused;
		if (newPaused) {
			this.wasPaused = true;
			this.gateway.metrics.readingPaused();
		}
		if (this.attempt != null) {
			this.attempt.setPaused(newPaused);
		}
	}

	// The response would come on a connection that has fallen silent. It may still come
	// if the path is back soon, which is the only hope of a request that must not be sent
	// again.
	private void pathIsSilent() {
		boolean repeatable = this.history.with(AttemptOutcome.UNKNOWN)
			.allowsAnotherAttempt(this.route.maxAttempts(), this.route.repeatable());
		if (this.attempt != null && repeatable) {
			this.attempt.onFailure(new ExchangeFailure(true, "path to the worker lost"));
		}
	}

	@Override
	public void onRefused(RefusalReason reason, long now) {
		refuseOrAbort(reason, now);
	}

	@Override
	public boolean mayContinueAfterRefusedPrefill(long now) {
		this.history = this.history.with(AttemptOutcome.NOT_RUN);
		return mayRetry(AttemptOutcome.NOT_RUN, now);
	}

	@Override
	public boolean mayRetryPrefill(long now) {
		AttemptHistory previous = this.history;
		boolean allowed = mayContinueAfterRefusedPrefill(now);
		this.history = allowed ? this.history : previous;
		return allowed;
	}

	@Override
	public int receivedTokens() {
		return this.progress.receivedTokens();
	}

	@Override
	public @Nullable String lastEventId() {
		return this.progress.lastEventId();
	}

	@Override
	public void onHead(ResponseHead head) {
		if (this.attempt == null) {
			return;
		}
		WorkerState w = this.attempt.worker();
		this.gateway.updateWorkerStatus(w, head.workerStatus(), this.attemptStartedAt);
		long now = this.gateway.clock.getAsLong();
		if (head.instanceReplaced()) {
			this.gateway.roster.instanceReplaced(w.info().id(), this.placing.stage(), now);
		}
		else {
			this.path.received(now);
		}
	}

	@Override
	public void onResponseStart(ResponseHead head) {
		this.responseStarted = true;
		this.response.start(head.status(), head.headers());
		firstByte();
	}

	@Override
	public void onEvent(byte[] event) {
		long now = this.gateway.clock.getAsLong();
		if (this.attempt != null) {
			this.originRecorder.onEvent(this.attempt.worker().info(), now);
		}
		this.path.received(now);
		this.progress.recordEvent(event, this.attemptStartedAt, this.gateway.engineTimes(this.upstream), now);
		if (this.attemptProgress.recordEvent(now)) {
			this.gateway.quarantine.recordProgress(this.identity, this.attemptProgress.writingMs(now), now);
		}
		this.response.write(event);
	}

	@Override
	public void onBytes(byte[] bytes) {
		this.path.received(this.gateway.clock.getAsLong());
		this.response.write(bytes);
	}

	private void prefillFinished() {
		if (this.prefillsAtWorker && this.attempt != null) {
			this.attempt.worker().adjustActivePrefills(-1);
			this.prefillsAtWorker = false;
		}
	}

	private void firstByte() {
		long now = this.gateway.clock.getAsLong();
		this.progress.recordFirstByte(now);
		prefillFinished();
		this.gateway.metrics.firstByte(this.route.name(), now - this.arrivedAt);
		if (this.attempt != null) {
			String id = this.attempt.worker().info().id();
			this.gateway.engineTimes(this.upstream)
				.recordTimeToFirstEvent(now - Math.max(this.arrivedAt, this.placing.reservedAt()));
			this.gateway.roster.outlierDetector(this.upstream).recordSuccess(id, now - this.attemptStartedAt, now);
			this.attempt.worker().recordOutcome(false);
		}
	}

	@Override
	public void verifyEnd(Consumer<Boolean> callback) {
		if (this.attempt != null) {
			long now = this.gateway.clock.getAsLong();
			this.gateway.crashDetector.onEndedWithConnection(this.attempt.worker(), this.identity,
					this.attemptProgress.writingMs(now), callback, now);
		}
	}

	@Override
	public void onSuccess(ResponseHead head, byte[] body, boolean forwarded) {
		long now = this.gateway.clock.getAsLong();
		if (!forwarded) {
			firstByte();
		}
		if (head.endsWithConnection()) {
			// The detector records the completion once it is known to be one.
			this.gateway.metrics.endedWithConnection();
		}
		else {
			this.gateway.quarantine.recordCompletion(this.identity, now);
			this.gateway.crashDetector.onCompleted(this.identity);
		}
		this.gateway.metrics.answered(this.route.name(), this.admitted.customerName(), now - this.arrivedAt);
		PromptInfo p = this.request.prompt();
		if (forwarded && p != null && this.request.lastEventId() == null) {
			this.gateway.engineTimes(this.upstream)
				.recordResponse(now - this.progress.firstByteAt(), p, receivedTokens());
		}
		log("answered status=" + head.status() + (head.endsWithConnection() ? " ended=with-connection" : "")
				+ timingFields(), now);
		recordPace(forwarded, now);
		endAttempt();
		finish();
		if (forwarded) {
			this.response.complete();
		}
		else {
			this.response.send(head.status(), head.headers(), body);
		}
	}

	@Override
	public void onFailure(AttemptOutcome end, String reason, @Nullable ResponseHead head, byte[] body) {
		long now = this.gateway.clock.getAsLong();
		this.history = this.history.with(end);
		this.gateway.metrics.attemptEnded(end);
		recordFailure(end, reason, now);
		boolean leaving = endsWithVm(now);
		boolean retry = mayRetry(end, now);
		if (!retry && !leaving && end == AttemptOutcome.NOT_SENT && tryOtherPaths(reason, now)) {
			return;
		}
		NextStep next = this.history.nextStep(end, retry);
		log("attempt=" + end + " seen=\"" + reason + "\" next=" + next + this.log.budgetField(end, now)
				+ ((end == AttemptOutcome.UNKNOWN) ? this.log.fingerprintField() : ""), now);
		endAttempt();
		switch (next) {
			case RETRY -> {
				this.gateway.metrics.retried();
				this.placing.start(now);
			}
			case RELAY_FAILURE -> relayFailure(head, body, now);
			case REFUSE_NOT_RUN, REPORT_UNKNOWN ->
				refuseOrAbort(leaving ? RefusalReason.LEAVING : RefusalReason.after(end), now);
		}
	}

	// All workers have been tried directly.
	private boolean tryOtherPaths(String reason, long now) {
		WorkerPath p = (this.attempt != null) ? this.attempt.worker().path() : null;
		if (p == null || (!p.isChecking() && !this.unsent.mayGoThroughVm())) {
			return false;
		}
		log("attempt=" + AttemptOutcome.NOT_SENT + " seen=\"" + reason + "\" next=CHECK_PATH", now);
		endAttempt();
		if (p.isChecking()) {
			p.addCheckListener((seen) -> onPathChecked());
		}
		else {
			onPathChecked();
		}
		return true;
	}

	// Workers that this VM could not connect, but another VM can, are tried once more.
	private void onPathChecked() {
		if (this.finished) {
			return;
		}
		long now = this.gateway.clock.getAsLong();
		this.unsent.allowAgain(this.placing);
		if (mayRetry(AttemptOutcome.NOT_SENT, now)) {
			this.gateway.metrics.retried();
			this.placing.start(now);
		}
		else {
			refuseOrAbort(RefusalReason.after(AttemptOutcome.NOT_SENT), now);
		}
	}

	private void recordFailure(AttemptOutcome end, String seen, long now) {
		if (this.attempt == null) {
			return;
		}
		WorkerState w = this.attempt.worker();
		w.recordOutcome(true);
		if (end == AttemptOutcome.UNKNOWN) {
			this.gateway.crashDetector.onInterrupted(w, this.identity, this.attemptProgress.writingMs(now), now);
		}
		if (end == AttemptOutcome.NOT_RUN) {
			int slots = w.info().slots();
			w.recordLoad(new LoadReport(slots, slots, slots), now);
		}
		else {
			this.gateway.roster.outlierDetector(this.upstream).recordFailure(w.info().id(), now);
		}
		if (end == AttemptOutcome.NOT_SENT) {
			this.unsent.add(w);
			this.gateway.paths.notReached(w, seen, now);
			this.gateway.paths.connectFailed(w, now);
		}
	}

	private boolean mayRetry(AttemptOutcome end, long now) {
		if (!this.history.allowsAnotherAttempt(this.route.maxAttempts(), this.route.repeatable())) {
			return false;
		}
		if (this.responseStarted && !this.route.resumable()) {
			return false;
		}
		if (endsWithVm(now) || this.deadline - now < RequestPlacement.MIN_ATTEMPT_MS
				|| !this.placing.hasCandidates(now)) {
			return false;
		}
		// A request that never left this VM put no load on a worker and does not use the
		// retry budget.
		return end == AttemptOutcome.NOT_SENT || takeFromBudget(now);
	}

	private boolean takeFromBudget(long now) {
		boolean taken = this.gateway.retryBudget.tryAcquire(this.upstream, this.gateway.retrySlackShare(now), now);
		if (!taken) {
			this.gateway.metrics.retryDenied();
		}
		return taken;
	}

	// The memory that the request needs, in tokens; timestamps relative to the arrival
	// and the longest pause between two events, ms.
	private String timingFields() {
		long reservedAt = Math.max(this.arrivedAt, this.placing.reservedAt());
		return " tokens=" + this.placing.requiredTokens() + " held-ms=" + (reservedAt - this.arrivedAt) + " sent-ms="
				+ (this.attemptStartedAt - this.arrivedAt) + " first-ms="
				+ (this.progress.firstByteAt() - this.arrivedAt) + " pause-ms=" + this.progress.longestPauseMs();
	}

	private void relayFailure(@Nullable ResponseHead head, byte[] body, long now) {
		if (head == null || this.responseStarted) {
			refuseOrAbort(RefusalReason.WORKER_LOST, now);
			return;
		}
		// Callers send a request again after such a status even if it must not run twice.
		if (!this.route.repeatable() && RelayRefusal.promisesNotRun(head.status())) {
			refuseOrAbort(RefusalReason.WORKER_FAILED, now);
			return;
		}
		log("failed status=" + head.status(), now);
		finish();
		this.response.send(head.status(), head.headers(), body);
	}

	private void refuseOrAbort(RefusalReason reason, long now) {
		if (this.responseStarted) {
			abortResponse(reason, now);
		}
		else if (this.history.mayHaveRun()) {
			refuse(new RelayRefusal(RelayRefusal.OUTCOME_UNKNOWN, reason, 0), now);
		}
		else {
			refuse(RelayRefusal.notRun(reason, this.retryDelay.afterRefusalMs(reason, now)), now);
		}
	}

	private void onDeadline() {
		giveUp(RefusalReason.TIMED_OUT, this.gateway.clock.getAsLong());
	}

	// A request that may have run goes on: it could only be answered as unknown.
	@Override
	public boolean endsWithVm(long now) {
		return !this.history.mayHaveRun() && this.gateway.mayOutlastVm(this.deadline, now);
	}

	void refuseIfMayOutlastVm(long now) {
		if (this.attempt == null && endsWithVm(now)) {
			end(now);
		}
	}

	// Ends the request, as this VM ends.
	void end(long now) {
		giveUp(RefusalReason.LEAVING, now);
	}

	private void giveUp(RefusalReason reason, long now) {
		if (this.finished) {
			return;
		}
		if (this.responseStarted) {
			abortResponse(reason, now);
		}
		else if (this.attempt == null && !this.history.mayHaveRun()) {
			// No worker has run it, and the caller may have time left for a retry.
			refuse(RelayRefusal.notRun(reason, this.retryDelay.afterRefusalMs(reason, now)), now);
		}
		else {
			refuse(new RelayRefusal(RelayRefusal.TIMED_OUT, reason, 0), now);
		}
	}

	private void refuse(RelayRefusal r, long now) {
		boolean hasNotRun = r.status() == RelayRefusal.NOT_RUN || this.placing.hasSentNothing();
		cancelAttempt();
		refundQuota(hasNotRun);
		this.gateway.metrics.refused(r.reason(), this.admitted.customerName());
		log("refused status=" + r.status() + " reason=" + r.reason().code() + " retry-after-ms=" + r.retryAfterMs(),
				now);
		finish();
		this.response.refuse(r);
	}

	// A request that has not run is refunded: the caller may retry and would pay twice.
	private void refundQuota(boolean hasNotRun) {
		Customer c = this.admitted.customer();
		if (c != null && hasNotRun) {
			this.gateway.quotas.refund(c, this.admitted.quotaCost());
		}
	}

	private void abortResponse(RefusalReason reason, long now) {
		cancelAttempt();
		this.gateway.metrics.responseAborted();
		log("broken-off reason=" + reason.code() + " last-event=" + this.progress.lastEventId(), now);
		finish();
		this.response.abort();
	}

	void callerDisconnected() {
		if (this.finished) {
			return;
		}
		this.gateway.metrics.callerDisconnected();
		String request = (this.attempt != null) ? this.log.fingerprintField() : "";
		log("caller-gone" + request, this.gateway.clock.getAsLong());
		refundQuota(this.placing.hasSentNothing());
		cancelAttempt();
		finish();
	}

	private void cancelAttempt() {
		this.placing.cancel();
		if (this.attempt != null) {
			long now = this.gateway.clock.getAsLong();
			this.attempt.cancel();
			this.gateway.crashDetector.onCancelled(this.attempt.worker(), this.identity,
					this.attemptProgress.writingMs(now), now);
			endAttempt();
		}
	}

	// Records the time that the worker took for one token of a stream, or for one plain
	// call, without the time that the caller takes to read it. A stream that needed
	// several attempts or was not forwarded is left out.
	private void recordPace(boolean forwarded, long now) {
		boolean stream = this.placing.stage() != WorkerStage.PLAIN;
		int units = stream ? receivedTokens() : 1;
		if (this.attempt == null || units == 0
				|| (stream && (!forwarded || this.wasPaused || this.history.sentCount() > 0))) {
			return;
		}
		long firstByteAt = this.progress.firstByteAt();
		double ms = stream ? now - firstByteAt : firstByteAt - this.attemptStartedAt;
		this.attempt.worker().recordAnswer(ms / units, now);
	}

	private void endAttempt() {
		if (this.attempt != null) {
			WorkerState w = this.attempt.worker();
			w.requestEnded();
			w.adjustPausedRequests(this.paused ? -1 : 0);
			this.path.end();
			w.recordDuration(this.gateway.clock.getAsLong() - this.attemptStartedAt);
			prefillFinished();
			this.attempt = null;
			this.gateway.onCapacityFreed(this.upstream, w.info().id());
		}
	}

	// Called before the response is sent: closing the connection after the response must
	// not be taken for a caller that disconnected.
	private void finish() {
		this.finished = true;
		this.cancelDeadline.run();
		this.onFinished.run();
	}

	@Override
	public void log(String text, long now) {
		this.log.write((this.attempt != null) ? this.attempt.worker().info() : null, this.history.sentCount(), text,
				now);
	}

}
