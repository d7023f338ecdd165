package io.shallotspur.node.ledger;

import java.util.HashMap;
import java.util.Map;

import com.codahale.metrics.MetricRegistry;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Scheduler;

import io.shallotspur.ledger.Attempt;
import io.shallotspur.ledger.AttemptResult;
import io.shallotspur.ledger.EntryState;
import io.shallotspur.ledger.Intent;
import io.shallotspur.ledger.IntentDecision;
import io.shallotspur.ledger.IntentKey;
import io.shallotspur.ledger.IntentLedger;
import io.shallotspur.ledger.KeyDigest;
import io.shallotspur.ledger.KeyTime;
import io.shallotspur.ledger.LedgerRefusals;
import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;
import io.shallotspur.port.KvStore;
import io.shallotspur.port.PeerNetwork;

/**
 * The ledger of one node.
 * <p>
 * Invariants: of all nodes that share a store, one call for a key is told to run, until
 * {@link #recordNotRun} is told for it; a call is told to run only after its intent is surely
 * in the store; each call is told something by its deadline. Thread-safe: all work is
 * done on one scheduler, which must run one task at a time and keeps the time.
 */
public final class LedgerService implements IntentLedger {

	private static final long WAIT_MS = 1_000;

	private static final long REPLY_MS = 50;

	private static final long PAUSE_MS = 20;

	private static final long REPEAT_ABORT_MS = 3_000;

	private static final long RETRY_AFTER_MS = 500;

	private static final long SWEEP_MS = 60_000;

	private final String self;

	private final long incarnation;

	private final LedgerSettings settings;

	private final Scheduler scheduler;

	private final WriterContext ctx;

	private final ShardJudge judge;

	private final LedgerRouter router;

	private final AnswerCache answers;

	private final LedgerMeter meter;

	private final Map<KeyDigest, KeyRun> runs = new HashMap<>();

	private long attempts;

	private long sweptAt;

	/**
	 * Creates the ledger of a node and sets its message handlers.
	 * @param node the peer address and incarnation of this node; the sequence is ignored
	 * @param settings the settings
	 * @param store the key-value service
	 * @param peers the other nodes; not started yet
	 * @param owners says who writes which shard
	 * @param liveness says which nodes may still answer
	 * @param scheduler runs all work, one task at a time
	 * @param registry takes the counters
	 */
	public LedgerService(Attempt node, LedgerSettings settings, KvStore store, PeerNetwork peers, ShardOwners owners,
			NodeLiveness liveness, Scheduler scheduler, MetricRegistry registry) {
		this.self = node.node();
		this.incarnation = node.incarnation();
		this.settings = settings;
		this.scheduler = scheduler;
		this.meter = new LedgerMeter(registry);
		this.ctx = new WriterContext(this.self, this.incarnation, settings, store, scheduler, this.meter);
		this.judge = new ShardJudge(this.ctx, liveness);
		this.router = new LedgerRouter(this.self, this.ctx, peers, owners, this.judge, scheduler);
		this.answers = new AnswerCache(settings.answerBytes());
		peers.onAsk(IntentAsk.class, this::onIntentAsk);
		peers.onAsk(EndTold.class, this::onEndTold);
		peers.onAsk(AnswerAsk.class, this::onAnswerAsk);
	}

	@Override
	public Mono<IntentDecision> begin(IntentKey key, long bodyHash, long now, long deadlineAt) {
		return Mono.create((sink) -> this.scheduler.schedule(() -> start(key, bodyHash, deadlineAt - now, sink)));
	}

	@Override
	public Mono<Void> recordAnswer(IntentKey key, byte[] answer, long now) {
		return Mono.create((sink) -> this.scheduler.schedule(() -> {
			KeyDigest k = KeyDigest.of(key);
			KeyRun r = this.runs.get(k);
			if (r != null && r.phase() == KeyRun.Phase.RUNNING) {
				this.answers.put(k, r.intent().bodyHash(), answer);
			}
			boolean small = answer.length <= this.settings.limits().maxInlineBytes();
			finish(k, new EntryState.Answered(small ? answer : null), new IntentDecision.Answered(answer), sink);
		}));
	}

	@Override
	public Mono<Void> recordUnknown(IntentKey key, long now) {
		return Mono.create((sink) -> this.scheduler.schedule(() -> finish(KeyDigest.of(key), new EntryState.Unknown(),
				new IntentDecision.Refused(LedgerRefusals.outcomeUnknown()), sink)));
	}

	@Override
	public Mono<Void> recordNotRun(IntentKey key, long now) {
		return Mono.create((sink) -> this.scheduler.schedule(() -> giveBack(KeyDigest.of(key), sink)));
	}

	private void start(IntentKey key, long bodyHash, long leftMs, MonoSink<IntentDecision> sink) {
		sweep();
		KeyDigest k = KeyDigest.of(key);
		AnswerCache.Kept kept = this.answers.get(k);
		KeyRun r = this.runs.get(k);
		if ((kept != null && kept.bodyHash() != bodyHash) || (r != null && r.intent().bodyHash() != bodyHash)) {
			sink.success(new IntentDecision.Refused(LedgerRefusals.denied(RefusalCode.KEY_REUSED)));
		}
		else if (kept != null) {
			sink.success(new IntentDecision.Answered(kept.answer()));
		}
		else {
			join(k, r, new Intent(k, bodyHash, KeyTime.of(key.key()), nextAttempt()), leftMs, sink);
		}
	}

	private void join(KeyDigest k, @Nullable KeyRun known, Intent i, long leftMs, MonoSink<IntentDecision> sink) {
		long now = this.ctx.now();
		boolean old = i.keyTime() != KeyTime.NONE && now - i.keyTime() > this.settings.resendAgeMs();
		KeyCall c = new KeyCall(sink, now + leftMs, old);
		KeyRun r = (known != null) ? known : new KeyRun(i, this.settings.limits().shardOf(k, i.keyTime()));
		r.add(c);
		sink.onCancel(() -> this.scheduler.schedule(() -> leave(r, c)));
		// The refusal has to reach the caller before it gives up.
		this.ctx.later(leftMs - Math.min(REPLY_MS, leftMs / 10), () -> expire(r, c));
		if (known == null) {
			this.runs.put(k, r);
			ask(r);
		}
	}

	private Attempt nextAttempt() {
		return new Attempt(this.self, this.incarnation, this.attempts++);
	}

	private void ask(KeyRun r) {
		if (r.isClosed() || r.isDeserted()) {
			return;
		}
		boolean waits = r.phase() == KeyRun.Phase.WAITING;
		long wait = waits ? Math.min(WAIT_MS, Math.max(1, r.lastDeadline() - this.ctx.now())) : 0;
		this.router.intend(r.shard(), r.intent(), r.lastDeadline(), wait, (reply) -> replied(r, reply));
	}

	private void replied(KeyRun r, IntentReply reply) {
		if (r.isClosed()) {
			if (reply.kind() == ReplyKind.GRANTED) {
				abort(r);
			}
			return;
		}
		switch (reply.kind()) {
			case GRANTED -> granted(r);
			case IN_FLIGHT -> inFlight(r);
			case ANSWERED -> answered(r, reply);
			case UNKNOWN -> close(r, new IntentDecision.Refused(LedgerRefusals.outcomeUnknown()));
			case DENIED -> close(r, new IntentDecision.Refused(
					LedgerRefusals.denied((reply.code() != null) ? reply.code() : RefusalCode.MALFORMED_REQUEST)));
			case UNAVAILABLE -> unavailable(r);
		}
	}

	private void granted(KeyRun r) {
		if (!r.grantFirst()) {
			abort(r);
		}
	}

	private void inFlight(KeyRun r) {
		if (r.phase() == KeyRun.Phase.WAITING) {
			this.ctx.later(PAUSE_MS, () -> ask(r));
		}
		else {
			r.setPhase(KeyRun.Phase.WAITING);
			ask(r);
		}
	}

	private void answered(KeyRun r, IntentReply reply) {
		byte[] inline = reply.answer();
		String holder = reply.holder();
		if (inline != null) {
			close(r, new IntentDecision.Answered(inline));
		}
		else if (holder == null || holder.equals(this.self)) {
			close(r, new IntentDecision.Refused(LedgerRefusals.answerNotRetained()));
		}
		else {
			r.setPhase(KeyRun.Phase.WAITING);
			long left = Math.max(1, Math.min(this.settings.askTimeoutMs(), r.lastDeadline() - this.ctx.now()));
			this.router.answer(holder, r.intent().key(), left).subscribe((a) -> fetched(r, a.answer()));
		}
	}

	private void fetched(KeyRun r, byte @Nullable [] answer) {
		if (!r.isClosed()) {
			close(r, (answer != null) ? new IntentDecision.Answered(answer)
					: new IntentDecision.Refused(LedgerRefusals.answerNotRetained()));
		}
	}

	private void unavailable(KeyRun r) {
		// Calls whose deadline is later may still get through.
		if (r.lastDeadline() > this.ctx.now()) {
			this.ctx.later(PAUSE_MS, () -> ask(r));
		}
	}

	private void expire(KeyRun r, KeyCall c) {
		if (!r.holds(c)) {
			return;
		}
		r.remove(c);
		c.tell(new IntentDecision.Refused(refusalOnExpiry(r, c)));
		desert(r);
	}

	private Refusal refusalOnExpiry(KeyRun r, KeyCall c) {
		if (r.phase() != KeyRun.Phase.ASKING) {
			return LedgerRefusals.stillRunning();
		}
		this.meter.storeUnavailable();
		return LedgerRefusals.storeUnavailable(c.maybeResend(), RETRY_AFTER_MS);
	}

	private void leave(KeyRun r, KeyCall c) {
		if (r.holds(c)) {
			r.remove(c);
			desert(r);
		}
	}

	private void desert(KeyRun r) {
		if (!r.isDeserted() || r.phase() == KeyRun.Phase.RUNNING) {
			return;
		}
		boolean mayBeCommitted = r.phase() == KeyRun.Phase.ASKING;
		forget(r);
		if (mayBeCommitted) {
			abort(r);
		}
	}

	private void abort(KeyRun r) {
		// An intent that nobody will dispatch may be committed late. Left in flight it
		// would make each resend of the key wait and end as unknown; so its end is told
		// now, and once more when a late write would have landed.
		forget(r);
		AttemptResult e = new AttemptResult(r.intent().key(), r.intent().attempt(), new EntryState.NotStarted());
		this.router.end(r.shard(), e, () -> this.ctx.later(REPEAT_ABORT_MS, () -> this.router.end(r.shard(), e, () -> {
		})));
	}

	private void close(KeyRun r, IntentDecision d) {
		forget(r);
		r.tellAll(d);
	}

	private void forget(KeyRun r) {
		r.setPhase(KeyRun.Phase.CLOSED);
		this.runs.remove(r.intent().key(), r);
	}

	private void finish(KeyDigest k, EntryState s, IntentDecision told, MonoSink<Void> sink) {
		KeyRun r = this.runs.get(k);
		if (r == null || r.phase() != KeyRun.Phase.RUNNING) {
			sink.success();
			return;
		}
		close(r, told);
		record(r, s, sink);
	}

	private void giveBack(KeyDigest k, MonoSink<Void> sink) {
		KeyRun r = this.runs.get(k);
		if (r == null || r.phase() != KeyRun.Phase.RUNNING || r.grantFirst()) {
			// If another call of the key waits here, it runs under the same intent.
			sink.success();
			return;
		}
		forget(r);
		record(r, new EntryState.NotStarted(), sink);
	}

	private void record(KeyRun r, EntryState s, MonoSink<Void> sink) {
		this.ctx.later(this.settings.askTimeoutMs(), sink::success);
		this.router.end(r.shard(), new AttemptResult(r.intent().key(), r.intent().attempt(), s), sink::success);
	}

	private void sweep() {
		long now = this.ctx.now();
		if (now - this.sweptAt >= SWEEP_MS) {
			this.sweptAt = now;
			this.judge.unloadIdle();
		}
	}

	private Mono<IntentReply> onIntentAsk(IntentAsk ask) {
		return Mono.create((sink) -> this.scheduler.schedule(() -> this.judge.judge(ask, sink::success)));
	}

	private Mono<EndAck> onEndTold(EndTold told) {
		return Mono.create((sink) -> this.scheduler
			.schedule(() -> this.judge.end(told.shard(), told.toEnd(), () -> sink.success(new EndAck(true)))));
	}

	private Mono<AnswerReply> onAnswerAsk(AnswerAsk ask) {
		return Mono.fromSupplier(() -> {
			AnswerCache.Kept kept = this.answers.get(ask.key());
			return new AnswerReply((kept != null) ? kept.answer() : null);
		});
	}

}
